package org.arbutusstack.gateway.quarantine;

import java.util.PriorityQueue;
import java.util.Random;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ManualClock;

/** Event loop of a replay in virtual time. */
final class ReplayLoop {

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private final PriorityQueue<Event> events = new PriorityQueue<>();

    private final Random random;

    private long nowMillis;

    private int eventCount;

    ReplayLoop(long seed) {
        this.random = new Random(seed);
    }

    private record Event(long atMillis, int order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return atMillis == other.atMillis
                    ? Integer.compare(order, other.order)
                    : Long.compare(atMillis, other.atMillis);
        }
    }

    ManualClock clock() {
        return clock;
    }

    Random random() {
        return random;
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Return the number of events so far, which differs at each event. */
    int eventCount() {
        return eventCount;
    }

    void after(long millis, Runnable action) {
        events.add(new Event(nowMillis + millis, eventCount++, action));
    }

    long exponentialMillis(double perSecond) {
        return Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
    }

    void runUntil(long endMillis) {
        while (nowMillis < endMillis) {
            Event next = events.remove();
            clock.advanceNanos((next.atMillis() - nowMillis) * Clock.NANOS_PER_MILLI);
            nowMillis = next.atMillis();
            next.action().run();
        }
    }
}
