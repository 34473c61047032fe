package org.arbutusstack.bench.slopes;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.FreePorts;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.FrameCodec;
import org.arbutusstack.wire.frame.HeartbeatFrame;
import org.arbutusstack.wire.frame.LoadFrame;
import org.arbutusstack.wire.frame.PlanFrame;
import org.arbutusstack.wire.frame.SideReportFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkKey;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.NioLinkTransport;

/** Simulated sides that accept links from entries and report as real sides do. All report the same content. */
final class FakeSides implements AutoCloseable {

    private static final long MEMORY_MB = 80_000;

    private static final int RUNNING_REQUESTS = 4;

    private final int port = FreePorts.next();

    private final NioLinkTransport transport = new NioLinkTransport("fake-sides", new LinkKey(DaemonProcess.LINK_KEY));

    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    private final AtomicLong bytes = new AtomicLong();

    private final AtomicLong frames = new AtomicLong();

    private final AtomicReference<Plan> currentPlan = new AtomicReference<>(Plan.none("stitch-lm"));

    private final AtomicLong queueLength = new AtomicLong();

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "fake-reports");
        thread.setDaemon(true);
        return thread;
    });

    private final List<String> models;

    private final List<String> adapters;

    /** Start to listen, and report the load once per period. A period of zero disables the load reports. */
    FakeSides(int modelsPerSide, int adaptersPerSide, long loadPeriodMillis) {
        this.models = names("model-", modelsPerSide);
        this.adapters = names("adapter-", adaptersPerSide);
        transport.listen(new InetSocketAddress("127.0.0.1", port), new Listener());
        if (loadPeriodMillis > 0) {
            timer.scheduleAtFixedRate(this::reportLoad, 0, loadPeriodMillis, TimeUnit.MILLISECONDS);
        }
    }

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> prefix + index + "@v1")
                .toList();
    }

    int port() {
        return port;
    }

    int linkCount() {
        return links.size();
    }

    long bytes() {
        return bytes.get();
    }

    long frames() {
        return frames.get();
    }

    private void reportLoad() {
        int queued = (int) queueLength.incrementAndGet();
        LoadFrame load =
                new LoadFrame(queued, RUNNING_REQUESTS, Map.of("model-0", queued, "model-1", RUNNING_REQUESTS));
        links.forEach(link -> send(link, load));
    }

    private SideReportFrame report() {
        Plan plan = currentPlan.get();
        return new SideReportFrame(
                1,
                plan.fence(),
                plan.sequence(),
                MEMORY_MB,
                MEMORY_MB / 2,
                MEMORY_MB / 2,
                (int) queueLength.get(),
                RUNNING_REQUESTS,
                models,
                List.of(),
                adapters,
                Map.of(),
                false);
    }

    private void send(Link link, Frame frame) {
        if (link.send(frame)) {
            count(frame);
        }
    }

    private void count(Frame frame) {
        bytes.addAndGet(FrameCodec.encode(frame).remaining());
        frames.incrementAndGet();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        transport.stop();
    }

    /** Tracks the links and counts the frames that arrive on them. */
    private final class Listener implements LinkListener {

        @Override
        public void onOpen(Link link) {
            send(link, report());
            links.add(link);
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            count(frame);
            if (frame instanceof PlanFrame plan) {
                currentPlan.set(JsonCodec.read(plan.plan(), Plan.class));
                send(link, report());
            }
            if (frame instanceof HeartbeatFrame heartbeat) {
                send(link, heartbeat);
            }
        }

        @Override
        public void onClosed(Link link) {
            links.remove(link);
        }
    }
}
