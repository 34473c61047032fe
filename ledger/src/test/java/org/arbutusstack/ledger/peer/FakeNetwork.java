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

/** An in-memory network in virtual time, whose processes can be frozen and killed. */
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

    void schedule(long millis, Runnable action) {
        events.add(new Event(clock.nowNanos() + millis * Clock.NANOS_PER_MILLI, eventNumber++, action));
    }

    void scheduleRepeatedly(long periodMillis, Process process, Runnable action) {
        schedule(periodMillis, () -> {
            process.run(action);
            if (!process.dead) {
                scheduleRepeatedly(periodMillis, process, action);
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

    /** A process on the network; actions that reach it while it is frozen are queued. */
    final class Process implements LinkTransport {

        private final InetSocketAddress address;

        private final String region;

        private final Deque<Runnable> queued = new ArrayDeque<>();

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
                queued.add(action);
            } else if (!dead) {
                action.run();
            }
        }

        void freeze() {
            frozen = true;
        }

        void thaw() {
            frozen = false;
            while (!queued.isEmpty()) {
                queued.poll().run();
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
        public Link connect(InetSocketAddress remote, LinkListener localEnd) {
            FakeLink link = new FakeLink(this, localEnd);
            schedule(CONNECT_MILLIS, () -> {
                Process target = listening.get(remote);
                if (target == null) {
                    link.close();
                    return;
                }
                target.run(() -> accept(target, link));
            });
            return link;
        }

        private void accept(Process target, FakeLink localEnd) {
            if (!localEnd.open) {
                return;
            }
            FakeLink remoteEnd = new FakeLink(target, target.listener);
            localEnd.remoteEnd = remoteEnd;
            remoteEnd.remoteEnd = localEnd;
            remoteEnd.owner.links.add(remoteEnd);
            localEnd.owner.links.add(localEnd);
            remoteEnd.listener.onOpen(remoteEnd);
            localEnd.owner.run(() -> localEnd.listener.onOpen(localEnd));
        }

        @Override
        public void stop() {}
    }

    /** One end of a connection. */
    private final class FakeLink implements Link {

        private final Process owner;

        private final LinkListener listener;

        private FakeLink remoteEnd;

        private boolean open = true;

        private long lastReceivedAtNanos = clock.nowNanos();

        FakeLink(Process owner, LinkListener listener) {
            this.owner = owner;
            this.listener = listener;
        }

        @Override
        public boolean send(Frame frame) {
            if (!open || remoteEnd == null || owner.dead) {
                return false;
            }
            frames++;
            FakeLink target = remoteEnd;
            long millis = owner.region.equals(target.owner.region) ? delayMillis : REGION_DELAY_MILLIS;
            schedule(millis, () -> target.owner.run(() -> target.deliver(frame)));
            return true;
        }

        private void deliver(Frame frame) {
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
            schedule(0, () -> owner.run(() -> listener.onClosed(this)));
            if (remoteEnd != null) {
                schedule(delayMillis, remoteEnd::close);
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

    /** An action scheduled for an instant; the number breaks ties. */
    private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
