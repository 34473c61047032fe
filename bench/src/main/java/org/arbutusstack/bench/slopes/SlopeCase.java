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

/** The dimensions in which a deployment grows. Each constant measures a daemon at a given size. */
enum SlopeCase {
    /** Links of an entry to sides whose load does not change. */
    ENTRY_LINKS_IDLE("links", List.of(10, 50, 200)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            return measureEntryLinks(size, harness, MODELS_PER_SIDE, IDLE_REPORT_MILLIS);
        }
    },
    /** Links of an entry to sides whose load changes continuously, so that they report it once per second. */
    ENTRY_LINKS_LOADED("links", List.of(10, 50, 200)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            return measureEntryLinks(size, harness, MODELS_PER_SIDE, LOADED_REPORT_MILLIS);
        }
    },
    /** Links of a side to entries that send heartbeats. */
    SIDE_LINKS("links", List.of(10, 50, 200)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            EngineStandIn engine = harness.cluster().startEngine(EngineShape.SMALL, null);
            DaemonProcess side = harness.cluster()
                    .startSide("lm-1", SlopeHarness.SERVICE, SlopeHarness.ZONE, engine.address(), Map.of());
            harness.awaitUp(side);
            try (FakeEntries entries = new FakeEntries(size, side.port("link-port"))) {
                SlopeHarness.require(
                        ProcessCluster.awaitTrue(START_SECONDS, () -> entries.linkCount() == size),
                        "Not all links are up");
                harness.addCounter("linkBytesPerSecond", entries::bytes);
                harness.addCounter("linkFramesPerSecond", entries::frames);
                return harness.measure(size, side);
            }
        }
    },
    /** Models of one service, planned by an entry with 50 links. */
    MODELS("models", List.of(25, 100, 250)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            DaemonProcess entry = harness.startEntry();
            harness.submit(entry, SlopeHarness.ticketOfModels(1, size));
            return measureWithSides(size, harness, entry, FIXED_LINKS, MODELS_PER_SIDE, IDLE_REPORT_MILLIS);
        }
    },
    /** Hosts in the host list to which the measured entry has no link. */
    HOSTS("hosts", List.of(50, 400, 1_560)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            DaemonProcess entry = harness.startEntry();
            for (int index = 0; index < size; index++) {
                harness.cluster()
                        .addHost(SlopeHarness.hostRow("entry-far-" + index, "ENTRY", "", 1)
                                .put("status", "LEAVING"));
            }
            harness.cluster().publishHosts();
            return harness.measure(size, entry);
        }
    },
    /** Tickets in the log, submitted one after the other. */
    TICKETS("tickets", List.of(10, 100, 400)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            DaemonProcess entry = harness.startEntry();
            long writesBefore = harness.cluster().store().writeCount();
            long readsBefore = harness.cluster().store().readCount();
            long startNanos = System.nanoTime();
            harness.submit(entry, SlopeHarness.ticketOfModels(1, MODELS_PER_SIDE));
            for (int number = 2; number <= size; number++) {
                harness.submit(entry, new TicketBuilder(number).model("model-1", SlopeHarness.SERVICE, number));
            }
            double millis = (double) (System.nanoTime() - startNanos) / TimeUnit.MILLISECONDS.toNanos(1);
            double writes = harness.cluster().store().writeCount() - writesBefore;
            double reads = harness.cluster().store().readCount() - readsBefore;
            Measurement idle = harness.measure(size, entry);
            Map<String, Double> more = new TreeMap<>(idle.more());
            more.put("millisPerTicket", millis / size);
            more.put("storeWritesPerTicket", writes / size);
            more.put("storeReadsPerTicket", reads / size);
            return new Measurement(size, idle.use(), more, idle.machineLoad());
        }
    },
    /** Requests per second of 24 tokens each, measured at the entry that routes them. */
    ENTRY_REQUESTS("requests/s", List.of(2, 10, 30)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            return measureRequests(size, harness, true);
        }
    },
    /** Requests per second of 24 tokens each, measured at the side that forwards them to its engine. */
    SIDE_REQUESTS("requests/s", List.of(2, 10, 30)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            return measureRequests(size, harness, false);
        }
    },
    /** Non-idempotent calls per second, measured at the side that claims them. */
    SIDE_CLAIMS("calls/s", List.of(10, 50, 200)) {
        @Override
        Measurement measure(int size, SlopeHarness harness) {
            PlainServiceStandIn service = harness.cluster().startPlainService();
            DaemonProcess side =
                    harness.cluster().startSide("order-1", "orderdesk", SlopeHarness.ZONE, service.address(), Map.of());
            DaemonProcess entry = harness.startEntry();
            SlopeHarness.require(
                    harness.cluster().submit(entry, PLAIN_TICKET).status() == OK, "The ticket was not accepted");
            try (ClaimLoad load = new ClaimLoad(harness.cluster(), entry.port("caller-port"), size)) {
                harness.addCounter("answeredPerSecond", load::answered);
                harness.addCounter("refusedPerSecond", load::refused);
                return harness.measure(size, side);
            }
        }
    };

    private static final int OK = 200;

    private static final String PLAIN_TICKET =
            "{\"number\":1,\"services\":[{\"name\":\"orderdesk\",\"kind\":\"PLAIN\",\"idempotent\":false}]}";

    private static final int MODELS_PER_SIDE = 8;

    private static final int ADAPTERS_PER_SIDE = 12;

    private static final int FIXED_LINKS = 50;

    private static final long IDLE_REPORT_MILLIS = 0;

    private static final long LOADED_REPORT_MILLIS = 1_000;

    private static final long START_SECONDS = 60;

    private static final int TOKENS_PER_ANSWER = 24;

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

    /** Measure a daemon at one size. */
    abstract Measurement measure(int size, SlopeHarness harness);

    private static Measurement measureEntryLinks(int size, SlopeHarness harness, int models, long reportMillis) {
        DaemonProcess entry = harness.startEntry();
        harness.submit(entry, SlopeHarness.ticketOfModels(1, models));
        return measureWithSides(size, harness, entry, size, models, reportMillis);
    }

    private static Measurement measureWithSides(
            int size, SlopeHarness harness, DaemonProcess entry, int links, int models, long reportMillis) {
        try (FakeSides sides = new FakeSides(models, ADAPTERS_PER_SIDE, reportMillis)) {
            harness.addFakeSides(links, sides.port());
            SlopeHarness.require(
                    ProcessCluster.awaitTrue(START_SECONDS, () -> sides.linkCount() == links), "Not all links are up");
            harness.addCounter("linkBytesPerSecond", sides::bytes);
            harness.addCounter("linkFramesPerSecond", sides::frames);
            return harness.measure(size, entry);
        }
    }

    private static Measurement measureRequests(int size, SlopeHarness harness, boolean measuresEntry) {
        EngineStandIn engine = harness.cluster().startEngine(EngineShape.SMALL, null);
        DaemonProcess side = harness.cluster()
                .startSide("lm-1", SlopeHarness.SERVICE, SlopeHarness.ZONE, engine.address(), Map.of());
        DaemonProcess entry = harness.startEntry();
        harness.submit(entry, SlopeHarness.ticketOfModels(1, MODELS_PER_SIDE));
        SlopeHarness.require(
                ProcessCluster.awaitTrue(
                        START_SECONDS,
                        () -> harness.cluster()
                                        .state(side)
                                        .path("report")
                                        .path("models")
                                        .size()
                                == MODELS_PER_SIDE),
                "Not all models are ready");
        List<HttpTarget> entries = List.of(new HttpTarget("127.0.0.1", entry.port("caller-port")));
        LoadGenerator generator = new LoadGenerator(harness.cluster().client(), entries);
        Thread load = new Thread(
                () -> generator.run(TraceFactory.uniform(1, size, LOAD_SECONDS, MODELS_PER_SIDE, TOKENS_PER_ANSWER)),
                "load");
        load.setDaemon(true);
        load.start();
        Measurement measurement = harness.measure(size, measuresEntry ? entry : side);
        load.interrupt();
        awaitEnd(load);
        return measurement;
    }

    private static void awaitEnd(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
