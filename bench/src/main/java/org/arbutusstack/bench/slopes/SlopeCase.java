package org.arbutusstack.bench.slopes;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.bench.deployment.TicketBuilder;
import org.arbutusstack.bench.load.LoadGenerator;
import org.arbutusstack.bench.load.TraceFactory;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.plain.PlainServiceStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;

/** Lists what grows; each constant knows how to measure a daemon at a size of it. */
enum SlopeCase {
    /** Links of an entry to sides whose load does not change. */
    ENTRY_LINKS_IDLE("links", List.of(10, 50, 200)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            return entryLinks(size, bed, LOADED_MODELS, IDLE_REPORT_MILLIS);
        }
    },
    /** Links of an entry to sides whose load changes all the time, so that they report it once a second. */
    ENTRY_LINKS_LOADED("links", List.of(10, 50, 200)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            return entryLinks(size, bed, LOADED_MODELS, LOADED_REPORT_MILLIS);
        }
    },
    /** Links of a side to entries that send heartbeats. */
    SIDE_LINKS("links", List.of(10, 50, 200)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            EngineStandIn engine = bed.cluster().startEngine(EngineShape.SMALL, null);
            DaemonProcess side =
                    bed.cluster().startSide("lm-1", SlopeBed.SERVICE, SlopeBed.ZONE, engine.address(), Map.of());
            bed.awaitUp(side);
            try (FakeEntries entries = new FakeEntries(size, side.port("link-port"))) {
                SlopeBed.require(
                        ProcessCluster.awaitTrue(START_SECONDS, () -> entries.linkCount() == size), "links missing");
                bed.count("linkBytesPerSecond", entries::bytes);
                bed.count("linkFramesPerSecond", entries::frames);
                return bed.measure(size, side);
            }
        }
    },
    /** Models of one service, planned by an entry over fifty links. */
    MODELS("models", List.of(25, 100, 250)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            DaemonProcess entry = bed.startEntry();
            bed.submit(entry, SlopeBed.models(1, size));
            return linked(size, bed, entry, MIDDLE_LINKS, LOADED_MODELS, IDLE_REPORT_MILLIS);
        }
    },
    /** Hosts in the host list to which the measured entry has no link. */
    HOSTS("hosts", List.of(50, 400, 1_560)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            DaemonProcess entry = bed.startEntry();
            for (int index = 0; index < size; index++) {
                bed.cluster()
                        .addHost(SlopeBed.row("entry-far-" + index, "ENTRY", "", 1)
                                .put("status", "LEAVING"));
            }
            bed.cluster().publishHosts();
            return bed.measure(size, entry);
        }
    },
    /** Tickets in the log, submitted one after the other. */
    TICKETS("tickets", List.of(10, 100, 400)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            DaemonProcess entry = bed.startEntry();
            long writesBefore = bed.cluster().store().writeCount();
            long readsBefore = bed.cluster().store().readCount();
            long startNanos = System.nanoTime();
            bed.submit(entry, SlopeBed.models(1, LOADED_MODELS));
            for (int number = 2; number <= size; number++) {
                bed.submit(entry, new TicketBuilder(number).model("model-1", SlopeBed.SERVICE, number));
            }
            double millis = (double) (System.nanoTime() - startNanos) / TimeUnit.MILLISECONDS.toNanos(1);
            double writes = bed.cluster().store().writeCount() - writesBefore;
            double reads = bed.cluster().store().readCount() - readsBefore;
            Measurement idle = bed.measure(size, entry);
            Map<String, Double> more = new TreeMap<>(idle.more());
            more.put("millisPerTicket", millis / size);
            more.put("storeWritesPerTicket", writes / size);
            more.put("storeReadsPerTicket", reads / size);
            return new Measurement(size, idle.use(), more, idle.machineLoad());
        }
    },
    /** Requests a second with 24 tokens each, at the entry that routes them. */
    ENTRY_REQUESTS("requests/s", List.of(2, 10, 30)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            return requests(size, bed, true);
        }
    },
    /** Requests a second with 24 tokens each, at the side that hands them to its engine. */
    SIDE_REQUESTS("requests/s", List.of(2, 10, 30)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            return requests(size, bed, false);
        }
    },
    /** Calls a second that may not be repeated, at the side that claims them. */
    SIDE_CLAIMS("calls/s", List.of(10, 50, 200)) {
        @Override
        Measurement measure(int size, SlopeBed bed) {
            PlainServiceStandIn service = bed.cluster().startPlainService();
            DaemonProcess side =
                    bed.cluster().startSide("order-1", "orderdesk", SlopeBed.ZONE, service.address(), Map.of());
            DaemonProcess entry = bed.startEntry();
            SlopeBed.require(bed.cluster().submit(entry, PLAIN_TICKET).status() == OK, "the ticket was not accepted");
            try (ClaimLoad load = new ClaimLoad(bed.cluster(), entry.port("caller-port"), size)) {
                bed.count("answeredPerSecond", load::answered);
                bed.count("refusedPerSecond", load::refused);
                return bed.measure(size, side);
            }
        }
    };

    private static final int OK = 200;

    private static final String PLAIN_TICKET =
            "{\"number\":1,\"services\":[{\"name\":\"orderdesk\",\"kind\":\"PLAIN\",\"idempotent\":false}]}";

    private static final int LOADED_MODELS = 8;

    private static final int LOADED_ADAPTERS = 12;

    private static final int MIDDLE_LINKS = 50;

    private static final long IDLE_REPORT_MILLIS = 0;

    private static final long LOADED_REPORT_MILLIS = 1_000;

    private static final long START_SECONDS = 60;

    private static final int TOKENS = 24;

    private static final long LOAD_SECONDS = 30;

    private final String unit;

    private final List<Integer> sizes;

    SlopeCase(String unit, List<Integer> sizes) {
        this.unit = unit;
        this.sizes = sizes;
    }

    String unit() {
        return unit;
    }

    List<Integer> sizes() {
        return sizes;
    }

    /** Measures at one size. */
    abstract Measurement measure(int size, SlopeBed bed);

    private static Measurement entryLinks(int size, SlopeBed bed, int models, long reportMillis) {
        DaemonProcess entry = bed.startEntry();
        bed.submit(entry, SlopeBed.models(1, models));
        return linked(size, bed, entry, size, models, reportMillis);
    }

    private static Measurement linked(
            int size, SlopeBed bed, DaemonProcess entry, int links, int models, long reportMillis) {
        try (FakeSides sides = new FakeSides(models, LOADED_ADAPTERS, reportMillis)) {
            bed.addFakeSides(links, sides.port());
            SlopeBed.require(
                    ProcessCluster.awaitTrue(START_SECONDS, () -> sides.linkCount() == links), "links missing");
            bed.count("linkBytesPerSecond", sides::bytes);
            bed.count("linkFramesPerSecond", sides::frames);
            return bed.measure(size, entry);
        }
    }

    private static Measurement requests(int size, SlopeBed bed, boolean ofEntry) {
        EngineStandIn engine = bed.cluster().startEngine(EngineShape.SMALL, null);
        DaemonProcess side =
                bed.cluster().startSide("lm-1", SlopeBed.SERVICE, SlopeBed.ZONE, engine.address(), Map.of());
        DaemonProcess entry = bed.startEntry();
        bed.submit(entry, SlopeBed.models(1, LOADED_MODELS));
        SlopeBed.require(
                ProcessCluster.awaitTrue(
                        START_SECONDS,
                        () -> bed.cluster()
                                        .state(side)
                                        .path("report")
                                        .path("models")
                                        .size()
                                == LOADED_MODELS),
                "models not ready");
        List<HttpTarget> entries = List.of(new HttpTarget("127.0.0.1", entry.port("caller-port")));
        LoadGenerator generator = new LoadGenerator(bed.cluster().client(), entries);
        Thread load = new Thread(
                () -> generator.run(TraceFactory.uniform(1, size, LOAD_SECONDS, LOADED_MODELS, TOKENS)), "load");
        load.setDaemon(true);
        load.start();
        Measurement measured = bed.measure(size, ofEntry ? entry : side);
        load.interrupt();
        join(load);
        return measured;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
