package org.arbutusstack.store;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Keeps a lease at the key-value service, and tells by the local clock whether it may still be relied on.
 *
 * <p>To be used by one thread.
 *
 * @see KeyValueStore
 */
public final class StoreLease {

    /** How long the lease lives after each renewal; the time for which deployments let a holder be silent. */
    public static final long TIME_TO_LIVE_SECONDS = 3;

    private static final long RENEW_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final KeyValueStore store;

    private final Clock clock;

    private final long callMillis;

    private long leaseId;

    private long validUntilNanos;

    private long renewAtNanos;

    /**
     * Creates a lease that is not held.
     *
     * @param store the key-value service
     * @param clock the clock of the process
     * @param callMillis how long a call may take
     */
    public StoreLease(KeyValueStore store, Clock clock, long callMillis) {
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
        this.callMillis = callMillis;
    }

    /**
     * Names the lease.
     *
     * @return its identifier, or {@link KeyValueStore#NO_LEASE}
     */
    public long id() {
        return leaseId;
    }

    /**
     * Tells whether the lease lives for certain: less than its time to live has passed since it was asked for.
     *
     * @return whether it does
     */
    public boolean isValid() {
        return leaseId != KeyValueStore.NO_LEASE && !clock.isPast(validUntilNanos);
    }

    /**
     * Renews the lease if that is due.
     *
     * @return whether it is valid
     */
    public boolean renew() {
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

    /**
     * Obtains a lease if there is none.
     *
     * @return whether one is valid
     */
    public boolean obtain() {
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

    /** Relies on the lease no longer, without a call: the process may have stood still for longer than it lives. */
    public void abandon() {
        leaseId = KeyValueStore.NO_LEASE;
    }

    /** Ends the lease at the service, so that another process need not wait for it. */
    public void revoke() {
        if (isValid()) {
            store.revokeLease(leaseId, clock.deadlineNanos(callMillis));
            leaseId = KeyValueStore.NO_LEASE;
        }
    }
}
