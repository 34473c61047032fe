package org.arbutusstack.placement;

/**
 * Strategies for proving that an order can no longer take effect, even though copies of it may still be in flight.
 *
 * @see MemoryLedger
 */
public enum OrderExpiryProof {

    /**
     * For engines that refuse an order whose fencing token is lower than the highest one they have seen, also after a
     * restart. An order has expired once a memory report shows a higher token than that of the order.
     */
    FENCE {
        @Override
        boolean isExpired(TrackedOrder order, EngineMemoryReport report, long delayLimitNanos) {
            return report.fence() > order.fence();
        }

        @Override
        boolean arePredecessorsExpired(
                long firstFence, long startedAtNanos, EngineMemoryReport report, long delayLimitNanos) {
            return report.fence() >= firstFence;
        }

        @Override
        boolean rejectsLateUnloads() {
            return true;
        }
    },

    /**
     * For engines that execute every order that reaches them. An order has expired if its call has ended and the memory
     * report was requested at least the maximum delay of an order later.
     */
    DELAY {
        @Override
        boolean isExpired(TrackedOrder order, EngineMemoryReport report, long delayLimitNanos) {
            return order.hasEnded() && report.requestedAtNanos() - order.endedAtNanos() >= delayLimitNanos;
        }

        @Override
        boolean arePredecessorsExpired(
                long firstFence, long startedAtNanos, EngineMemoryReport report, long delayLimitNanos) {
            return report.requestedAtNanos() - startedAtNanos >= delayLimitNanos;
        }

        @Override
        boolean rejectsLateUnloads() {
            return false;
        }
    };

    /** Return whether no copy of an order can take effect after the report was taken. */
    abstract boolean isExpired(TrackedOrder order, EngineMemoryReport report, long delayLimitNanos);

    /** Return whether no order of an earlier process can take effect after the report was taken. */
    abstract boolean arePredecessorsExpired(
            long firstFence, long startedAtNanos, EngineMemoryReport report, long delayLimitNanos);

    /** Return whether the engine refuses a late copy of an unload once it has executed a later load. */
    abstract boolean rejectsLateUnloads();
}
