package org.arbutusstack.bench.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock that runs actions in the order of their times, without waiting. Not thread-safe. */
final class VirtualTime {

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atNanos).thenComparingLong(Action::number));

    private long nowNanos;

    private long nextNumber;

    long nowNanos() {
        return nowNanos;
    }

    void scheduleAt(long atNanos, Runnable work) {
        actions.add(new Action(Math.max(nowNanos, atNanos), nextNumber++, work));
    }

    void scheduleAfter(long delayNanos, Runnable work) {
        scheduleAt(nowNanos + delayNanos, work);
    }

    void runUntil(long untilNanos) {
        while (!actions.isEmpty() && actions.peek().atNanos() <= untilNanos) {
            Action action = actions.poll();
            nowNanos = action.atNanos();
            action.work().run();
        }
        nowNanos = untilNanos;
    }

    /** A scheduled action. Actions of the same time run in the order in which they were added. */
    private record Action(long atNanos, long number, Runnable work) {}
}
