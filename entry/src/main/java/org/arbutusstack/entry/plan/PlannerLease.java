package org.arbutusstack.entry.plan;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;

/**
 * Keeps the lease under which this process plans, and tells by the local clock whether it may still be relied on.
 *
 * <p>To be used by one thread.
 */
final class PlannerLease {

    static final long TIME_TO_LIVE_SECONDS = 3;

    private static final long RENEW_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final KeyValueStore store;

    private final Clock clock;

    private final long callMillis;

    private long leaseId;

    private long validUntilNanos;

    private long renewAtNanos;

    PlannerLease(KeyValueStore store, Clock clock, long callMillis) {
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
        this.callMillis = callMillis;
    }

    long id() {
        return leaseId;
    }

    /** Tells whether the lease lives for certain: less than its time to live has passed since it was asked for. */
    boolean isValid() {
        return leaseId != KeyValueStore.NO_LEASE && !clock.isPast(validUntilNanos);
    }

    /** Renews the lease if that is due; returns whether it is valid. */
    boolean renew() {
        if (!isValid()) {
            leaseId = KeyValueStore.NO_LEASE;
            return false;
        }
        if (!clock.isPast(renewAtNanos)) {
            return true;
        }
        long askedUntilNanos = clock.deadlineNanos(TIME_TO_LIVE_SECONDS * MILLIS_PER_SECOND);
        long nextNanos = clock.deadlineNanos(RENEW_MILLIS);
        StoreResult<Boolean> renewed = store.renewLease(leaseId, clock.deadlineNanos(callMillis));
        if (renewed instanceof StoreResult.Done<Boolean> done) {
            validUntilNanos = done.value() ? askedUntilNanos : clock.nowNanos();
            renewAtNanos = nextNanos;
        }
        return isValid();
    }

    /** Obtains a lease if there is none; returns whether one is valid. */
    boolean obtain() {
        if (isValid()) {
            return true;
        }
        long askedUntilNanos = clock.deadlineNanos(TIME_TO_LIVE_SECONDS * MILLIS_PER_SECOND);
        StoreResult<Long> granted = store.grantLease(TIME_TO_LIVE_SECONDS, clock.deadlineNanos(callMillis));
        if (granted instanceof StoreResult.Done<Long> done) {
            leaseId = done.value();
            validUntilNanos = askedUntilNanos;
            renewAtNanos = clock.deadlineNanos(RENEW_MILLIS);
        }
        return isValid();
    }

    void revoke() {
        if (isValid()) {
            store.revokeLease(leaseId, clock.deadlineNanos(callMillis));
            leaseId = KeyValueStore.NO_LEASE;
        }
    }
}
