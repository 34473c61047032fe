package org.arbutusstack.placement;

/** Memory committed for one model or adapter, with the orders sent for it. Not thread-safe. */
final class Commitment {

    private final boolean adapter;

    private long memoryMb;

    private ResidencyState state;

    private TrackedOrder load;

    private TrackedOrder unload;

    private boolean unloadFailed;

    Commitment(boolean adapter, long memoryMb, ResidencyState state, TrackedOrder load) {
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

    TrackedOrder load() {
        return load;
    }

    boolean isUnloadFailed() {
        return unloadFailed;
    }

    void unloadSent(TrackedOrder order) {
        unload = order;
        unloadFailed = false;
        state = ResidencyState.UNLOADING;
    }

    /** Record that the call of a load ended; ignored if the order belongs to an earlier commitment. */
    void loadEnded(long fence, boolean confirmed, long nowNanos) {
        if (load.fence() != fence || load.hasEnded()) {
            return;
        }
        load = load.ended(nowNanos);
        boolean inProgress = state == ResidencyState.LOADING || state == ResidencyState.UNKNOWN;
        if (confirmed && inProgress) {
            state = ResidencyState.READY;
        }
    }

    void unloadEnded(long fence, long nowNanos) {
        if (unload != null && unload.fence() == fence && !unload.hasEnded()) {
            unload = unload.ended(nowNanos);
        }
    }

    /** Update the state from a report that lists the model or adapter. */
    void applyResident(EngineMemoryReport.Resident resident, EngineMemoryReport report) {
        memoryMb = Math.max(memoryMb, resident.memoryMb());
        if (state == ResidencyState.UNLOADING) {
            unloadFailed = unload.endedBefore(report);
            return;
        }
        if (state == ResidencyState.UNLOADED) {
            load = TrackedOrder.ofOtherProcess(report);
        }
        if (state != ResidencyState.READY) {
            state = resident.ready() ? ResidencyState.READY : ResidencyState.LOADING;
        }
    }

    /** Update the state from a report that lacks the model or adapter, although its load may still take effect. */
    void applyAbsence(EngineMemoryReport report, long startLimitNanos) {
        boolean overdue = report.requestedAtNanos() - load.sentAtNanos() >= startLimitNanos;
        boolean loaded = state == ResidencyState.READY || state == ResidencyState.LOADING;
        if (loaded && (load.endedBefore(report) || overdue && state == ResidencyState.LOADING)) {
            state = ResidencyState.UNKNOWN;
        }
    }

    void markUnloaded() {
        state = ResidencyState.UNLOADED;
    }

    boolean isUnloadExpired(OrderExpiryProof proof, EngineMemoryReport report, long delayLimitNanos) {
        return unload == null || proof.rejectsLateUnloads() || proof.isExpired(unload, report, delayLimitNanos);
    }
}
