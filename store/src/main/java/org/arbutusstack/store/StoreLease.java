package org.arbutusstack.store;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * A lease at the key-value service, whose validity is determined by the local clock.
 *
 * <p>Not thread-safe.
 *
 * @see KeyValueStore
 */
public final class StoreLease {

    /** The time to live after each grant or renewal; the time for which deployments tolerate an unresponsive holder. */
    public static final long TIME_TO_LIVE_SECONDS = 3;

    private static final long RENEW_INTERVAL_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final KeyValueStore store;

    private final Clock clock;

    private final long callTimeoutMillis;

    private long leaseId;

    /** The era of the service in which the lease was granted. */
    private long era;

    private long validUntilNanos;

    private long renewAtNanos;

    /**
     * Create a lease that is not held.
     *
     * @param store the key-value service
     * @param clock the source of monotonic time
     * @param callTimeoutMillis the timeout of a call, in milliseconds
     */
    public StoreLease(KeyValueStore store, Clock clock, long callTimeoutMillis) {
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
        this.callTimeoutMillis = callTimeoutMillis;
    }

    /**
     * Return the identifier of the lease.
     *
     * @return the identifier, or {@link KeyValueStore#NO_LEASE}
     */
    public long id() {
        return leaseId;
    }

    /**
     * Return the era of the service in which the lease was granted.
     *
     * @return the era, as {@link KeyValueStore#era()}
     */
    public long era() {
        return era;
    }

    /**
     * Return whether the lease certainly exists: less than its time to live has passed since its grant or its last
     * renewal was requested, and the service has not come back from an older copy since.
     *
     * @return whether the lease is valid
     */
    public boolean isValid() {
        return leaseId != KeyValueStore.NO_LEASE && era == store.era() && !clock.isPast(validUntilNanos);
    }

    /**
     * Renew the lease if the renewal is due.
     *
     * @return whether the lease is valid
     */
    public boolean renew() {
        if (!isValid()) {
            leaseId = KeyValueStore.NO_LEASE;
            return false;
        }
        if (!clock.isPast(renewAtNanos)) {
            return true;
        }
        long requestedUntilNanos = clock.deadlineNanos(TIME_TO_LIVE_SECONDS * MILLIS_PER_SECOND);
        long nextRenewalNanos = clock.deadlineNanos(RENEW_INTERVAL_MILLIS);
        StoreResult<Boolean> renewed = store.renewLease(leaseId, clock.deadlineNanos(callTimeoutMillis));
        if (renewed instanceof StoreResult.Done<Boolean> done) {
            validUntilNanos = done.value() ? requestedUntilNanos : clock.nowNanos();
            renewAtNanos = nextRenewalNanos;
        }
        return isValid();
    }

    /**
     * Obtain a lease unless the present one is valid.
     *
     * @return whether the lease is valid
     */
    public boolean obtain() {
        if (isValid()) {
            return true;
        }
        long requestedUntilNanos = clock.deadlineNanos(TIME_TO_LIVE_SECONDS * MILLIS_PER_SECOND);
        long eraBefore = store.era();
        StoreResult<Long> granted = store.grantLease(TIME_TO_LIVE_SECONDS, clock.deadlineNanos(callTimeoutMillis));
        if (granted instanceof StoreResult.Done<Long> done) {
            leaseId = done.value();
            // The first answer of all tells the era; otherwise a new era may have begun after the grant.
            era = eraBefore == KeyValueStore.UNKNOWN_ERA ? store.era() : eraBefore;
            validUntilNanos = requestedUntilNanos;
            renewAtNanos = clock.deadlineNanos(RENEW_INTERVAL_MILLIS);
        }
        return isValid();
    }

    /** Abandon the lease without a call; the process may have been suspended for longer than its time to live. */
    public void abandon() {
        leaseId = KeyValueStore.NO_LEASE;
    }

    /** Revoke the lease at the service, so that another process does not have to wait until it expires. */
    public void revoke() {
        if (isValid()) {
            store.revokeLease(leaseId, clock.deadlineNanos(callTimeoutMillis));
            leaseId = KeyValueStore.NO_LEASE;
        }
    }
}
