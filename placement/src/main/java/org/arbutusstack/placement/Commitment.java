package org.arbutusstack.placement;

/** Holds the memory committed for one model or adapter and the orders sent for it. To be used by one thread. */
final class Commitment {

    private final boolean adapter;

    private long memoryMb;

    private ResidencyState state;

    private OrderTrace load;

    private OrderTrace unload;

    private boolean unloadFailed;

    Commitment(boolean adapter, long memoryMb, ResidencyState state, OrderTrace load) {
        this.adapter = adapter;
        this.memoryMb = memoryMb;
        this.state = state;
        this.load = load;
    }

    boolean isAdapter() {
        return adapter;
    }

    ResidencyState state() {
        return state;
    }

    long memoryMb() {
        return state == ResidencyState.UNLOADED ? 0 : memoryMb;
    }

    OrderTrace load() {
        return load;
    }

    boolean isUnloadFailed() {
        return unloadFailed;
    }

    void unloadSent(OrderTrace order) {
        unload = order;
        unloadFailed = false;
        state = ResidencyState.UNLOADING;
    }

    /** Learns that the call of a load ended; one of an earlier commitment is passed over. */
    void loadEnded(long fence, boolean done, long nowNanos) {
        if (load.fence() != fence || load.hasEnded()) {
            return;
        }
        load = load.ended(nowNanos);
        boolean open = state == ResidencyState.LOADING || state == ResidencyState.UNKNOWN;
        if (done && open) {
            state = ResidencyState.READY;
        }
    }

    void unloadEnded(long fence, long nowNanos) {
        if (unload != null && unload.fence() == fence && !unload.hasEnded()) {
            unload = unload.ended(nowNanos);
        }
    }

    /** Learns that an account lists it. */
    void present(EngineMemoryReport.Resident resident, EngineMemoryReport account) {
        memoryMb = Math.max(memoryMb, resident.memoryMb());
        if (state == ResidencyState.UNLOADING) {
            unloadFailed = unload.endedBefore(account);
            return;
        }
        if (state == ResidencyState.UNLOADED) {
            load = OrderTrace.foreign(account);
        }
        if (state != ResidencyState.READY) {
            state = resident.ready() ? ResidencyState.READY : ResidencyState.LOADING;
        }
    }

    /** Learns that an account does not list it, though its load may still take effect. */
    void missing(EngineMemoryReport account, long startLimitNanos) {
        boolean overdue = account.askedAtNanos() - load.sentAtNanos() >= startLimitNanos;
        boolean held = state == ResidencyState.READY || state == ResidencyState.LOADING;
        if (held && (load.endedBefore(account) || overdue && state == ResidencyState.LOADING)) {
            state = ResidencyState.UNKNOWN;
        }
    }

    void unloaded() {
        state = ResidencyState.UNLOADED;
    }

    boolean isUnloadPast(OrderExpiryProof proof, EngineMemoryReport account, long delayLimitNanos) {
        return unload == null || proof.ordersLateUnloadsBeforeLoads() || proof.isPast(unload, account, delayLimitNanos);
    }
}
