package org.arbutusstack.ledger.peer;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;

/** Carries frames between processes in memory and in virtual time; freezes and kills processes on order. */
final class FakeNetwork {

    private static final long CONNECT_MILLIS = 2;

    private static final long REGION_DELAY_MILLIS = 40;

    private final ManualClock clock;

    private final long delayMillis;

    private final PriorityQueue<Event> events = new PriorityQueue<>();

    private final Map<InetSocketAddress, Process> listening = new HashMap<>();

    private long eventNumber;

    private long frames;

    FakeNetwork(ManualClock clock, long delayMillis) {
        this.clock = clock;
        this.delayMillis = delayMillis;
    }

    long frames() {
        return frames;
    }

    void after(long millis, Runnable action) {
        events.add(new Event(clock.nowNanos() + millis * Clock.NANOS_PER_MILLI, eventNumber++, action));
    }

    void every(long periodMillis, Process process, Runnable action) {
        after(periodMillis, () -> {
            process.run(action);
            if (!process.dead) {
                every(periodMillis, process, action);
            }
        });
    }

    void run(long millis) {
        long endNanos = clock.nowNanos() + millis * Clock.NANOS_PER_MILLI;
        while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
            Event event = events.poll();
            clock.advanceNanos(Math.max(0, event.atNanos - clock.nowNanos()));
            event.action.run();
        }
        clock.advanceNanos(Math.max(0, endNanos - clock.nowNanos()));
    }

    /** Is one process on the network; what reaches it while it is frozen waits. */
    final class Process implements LinkTransport {

        private final InetSocketAddress address;

        private final String region;

        private final Deque<Runnable> waiting = new ArrayDeque<>();

        private final Deque<FakeLink> links = new ArrayDeque<>();

        private LinkListener listener;

        private boolean frozen;

        private boolean dead;

        Process(int port, String region) {
            this.region = region;
            this.address = new InetSocketAddress("127.0.0.1", port);
        }

        void run(Runnable action) {
            if (frozen) {
                waiting.add(action);
            } else if (!dead) {
                action.run();
            }
        }

        void freeze() {
            frozen = true;
        }

        void thaw() {
            frozen = false;
            while (!waiting.isEmpty()) {
                waiting.poll().run();
            }
        }

        void kill() {
            dead = true;
            listening.remove(address);
            links.forEach(FakeLink::close);
        }

        boolean isDead() {
            return dead;
        }

        @Override
        public void listen(InetSocketAddress unused, LinkListener listener) {
            this.listener = listener;
            listening.put(address, this);
        }

        @Override
        public Link connect(InetSocketAddress remote, LinkListener near) {
            FakeLink link = new FakeLink(this, near);
            after(CONNECT_MILLIS, () -> {
                Process target = listening.get(remote);
                if (target == null) {
                    link.close();
                    return;
                }
                target.run(() -> accept(target, link));
            });
            return link;
        }

        private void accept(Process target, FakeLink near) {
            if (!near.open) {
                return;
            }
            FakeLink far = new FakeLink(target, target.listener);
            near.far = far;
            far.far = near;
            far.owner.links.add(far);
            near.owner.links.add(near);
            far.listener.onOpen(far);
            near.owner.run(() -> near.listener.onOpen(near));
        }

        @Override
        public void stop() {}
    }

    /** Is one end of a connection. */
    private final class FakeLink implements Link {

        private final Process owner;

        private final LinkListener listener;

        private FakeLink far;

        private boolean open = true;

        private long lastReceivedAtNanos = clock.nowNanos();

        FakeLink(Process owner, LinkListener listener) {
            this.owner = owner;
            this.listener = listener;
        }

        @Override
        public boolean send(Frame frame) {
            if (!open || far == null || owner.dead) {
                return false;
            }
            frames++;
            FakeLink target = far;
            long millis = owner.region.equals(target.owner.region) ? delayMillis : REGION_DELAY_MILLIS;
            after(millis, () -> target.owner.run(() -> target.take(frame)));
            return true;
        }

        private void take(Frame frame) {
            if (open) {
                lastReceivedAtNanos = clock.nowNanos();
                listener.onFrame(this, frame);
            }
        }

        @Override
        public void close() {
            if (!open) {
                return;
            }
            open = false;
            after(0, () -> owner.run(() -> listener.onClosed(this)));
            if (far != null) {
                after(delayMillis, far::close);
            }
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public long lastReceivedAtNanos() {
            return lastReceivedAtNanos;
        }

        @Override
        public String remote() {
            return "fake";
        }
    }

    /** Holds what happens at an instant. */
    private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
