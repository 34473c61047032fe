package org.arbutusstack.bench.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their instants, without waiting. To be used by one thread. */
final class VirtualTime {

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atNanos).thenComparingLong(Action::number));

    private long nowNanos;

    private long nextNumber;

    long nowNanos() {
        return nowNanos;
    }

    void at(long atNanos, Runnable work) {
        actions.add(new Action(Math.max(nowNanos, atNanos), nextNumber++, work));
    }

    void after(long delayNanos, Runnable work) {
        at(nowNanos + delayNanos, work);
    }

    void runUntil(long untilNanos) {
        while (!actions.isEmpty() && actions.peek().atNanos() <= untilNanos) {
            Action action = actions.poll();
            nowNanos = action.atNanos();
            action.work().run();
        }
        nowNanos = untilNanos;
    }

    /** Holds an action; those of one instant run in the order in which they were added. */
    private record Action(long atNanos, long number, Runnable work) {}
}
