package org.arbutusstack.placement;

/**
 * Follows one order: its fencing number and whether the call that carried it has ended. Immutable.
 *
 * @param fence the fencing number
 * @param sentAtNanos when it was sent
 * @param hasEnded whether the call has ended, with whatever outcome
 * @param endedAtNanos when it ended; meaningless before
 */
record OrderTrace(long fence, long sentAtNanos, boolean hasEnded, long endedAtNanos) {

    static OrderTrace sent(long fence, long nowNanos) {
        return new OrderTrace(fence, nowNanos, false, 0);
    }

    /** Describes the order of another process for what an account shows. */
    static OrderTrace foreign(EngineMemoryReport account) {
        return new OrderTrace(account.fence(), account.askedAtNanos(), true, account.askedAtNanos());
    }

    OrderTrace ended(long nowNanos) {
        return new OrderTrace(fence, sentAtNanos, true, nowNanos);
    }

    /** Tells whether an account was asked for after the call had ended. */
    boolean endedBefore(EngineMemoryReport account) {
        return hasEnded && account.askedAtNanos() - endedAtNanos >= 0;
    }
}
