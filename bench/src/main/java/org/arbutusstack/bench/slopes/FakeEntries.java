package org.arbutusstack.bench.slopes;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.FrameCodec;
import org.arbutusstack.wire.frame.HeartbeatFrame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkKey;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.NioLinkTransport;

/** Simulated entries that open links to one side and send heartbeats as real entries do. */
final class FakeEntries implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 4_000;

    private final NioLinkTransport transport =
            new NioLinkTransport("fake-entries", new LinkKey(DaemonProcess.LINK_KEY));

    private final List<Link> links = new CopyOnWriteArrayList<>();

    private final AtomicLong bytes = new AtomicLong();

    private final AtomicLong frames = new AtomicLong();

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "fake-heartbeats");
        thread.setDaemon(true);
        return thread;
    });

    FakeEntries(int count, int sidePort) {
        for (int index = 0; index < count; index++) {
            transport.connect(new InetSocketAddress("127.0.0.1", sidePort), new Listener("fake-entry-" + index));
        }
        timer.scheduleAtFixedRate(this::sendHeartbeats, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
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

    private void sendHeartbeats() {
        HeartbeatFrame heartbeat = new HeartbeatFrame(0, Digest.ZERO, false);
        links.forEach(link -> send(link, heartbeat));
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

    /** Counts the frames that arrive on a link. */
    private final class Listener implements LinkListener {

        private final String name;

        Listener(String name) {
            this.name = name;
        }

        @Override
        public void onOpen(Link link) {
            send(link, new HelloFrame(name, HostRole.ENTRY, "", "regina", name + "-1"));
            links.add(link);
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            count(frame);
        }

        @Override
        public void onClosed(Link link) {
            links.remove(link);
        }
    }
}
