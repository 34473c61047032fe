package org.arbutusstack.placement;

/**
 * Tells what proves that an order can take effect no more, though copies of it may still be under way.
 *
 * @see MemoryLedger
 */
public enum OrderExpiryProof {

    /**
     * The engine refuses an order with a fencing number below the highest that it has seen, also after a restart: its
     * account shows a higher number than the order's.
     */
    FENCE {
        @Override
        boolean isPast(OrderTrace order, EngineMemoryReport account, long delayLimitNanos) {
            return account.fence() > order.fence();
        }

        @Override
        boolean isPredecessorPast(
                long firstFence, long startedAtNanos, EngineMemoryReport account, long delayLimitNanos) {
            return account.fence() >= firstFence;
        }

        @Override
        boolean ordersLateUnloadsBeforeLoads() {
            return true;
        }
    },

    /**
     * The engine carries out any order that reaches it: its account was asked for after the call had ended and the
     * longest time that an order may be under way had passed.
     */
    DELAY {
        @Override
        boolean isPast(OrderTrace order, EngineMemoryReport account, long delayLimitNanos) {
            return order.hasEnded() && account.askedAtNanos() - order.endedAtNanos() >= delayLimitNanos;
        }

        @Override
        boolean isPredecessorPast(
                long firstFence, long startedAtNanos, EngineMemoryReport account, long delayLimitNanos) {
            return account.askedAtNanos() - startedAtNanos >= delayLimitNanos;
        }

        @Override
        boolean ordersLateUnloadsBeforeLoads() {
            return false;
        }
    };

    /** Tells whether no copy of an order can take effect after the account was taken. */
    abstract boolean isPast(OrderTrace order, EngineMemoryReport account, long delayLimitNanos);

    /** Tells whether no order of an earlier process can take effect after the account was taken. */
    abstract boolean isPredecessorPast(
            long firstFence, long startedAtNanos, EngineMemoryReport account, long delayLimitNanos);

    /** Tells whether a late copy of an unload is refused once a later load was carried out. */
    abstract boolean ordersLateUnloadsBeforeLoads();
}
