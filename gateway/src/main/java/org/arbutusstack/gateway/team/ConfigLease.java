package org.arbutusstack.gateway.team;

import java.util.OptionalLong;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ClockReading;

/**
 * Lease on the configuration of an entry: while it is valid, no key that was withdrawn longer ago than permitted is
 * still accepted.
 *
 * <p>Addresses operators who withdraw the key of a team while an entry cannot read it: cut off from the store, frozen
 * or suspended. The lease starts when a call to the store is sent, once that call has been answered completely and its
 * changes are in force, since everything acknowledged earlier is then known. A host that is suspended is detected by
 * its wall clock; if that clock is set back, the time that has passed is unknown and the lease ends. Confined to the
 * entry's event loop.
 *
 * @see ClockReading
 */
public final class ConfigLease {

    /**
     * The part of the time limit that is not used: it covers clocks that run at different rates (0.05%) and a wall
     * clock that is corrected late after a suspension.
     */
    private static final int MARGIN_PARTS = 10;

    /**
     * The parts of the lease that can pass on waiting calls to the store: collecting changes after one call, the next
     * call, and its replacement after it has failed silently.
     */
    private static final int WAITS_PER_LEASE = 3;

    /** The time to detect a silent connection, to pause before the next call and to receive its answer. */
    private static final long RECOVERY_MILLIS = 750;

    private static final long MIN_POLL_MILLIS = 50;

    /** A wall clock is adjusted gradually by up to 0.05%, in far smaller steps than this within a lease. */
    private static final long SET_BACK_NANOS = 10 * Clock.NANOS_PER_MILLI;

    private final Clock clock;

    private final OptionalLong limitMillis;

    private ClockReading confirmedAt;

    private boolean valid;

    /** The highest offset between the clocks since the last confirmation. */
    private long offsetNanos = Long.MIN_VALUE;

    private boolean everSetBack;

    private long setBackAtNanos;

    /**
     * Create a lease that is not valid yet.
     *
     * @param limitMillis the time after which a withdrawn key may no longer be accepted, in milliseconds; empty for no
     *     limit, so that the lease is always valid
     * @param clock the clock of the process
     */
    public ConfigLease(OptionalLong limitMillis, Clock clock) {
        this.limitMillis = Assert.notNull(limitMillis, "limitMillis");
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Return how long calls to the store may wait for changes so that the lease outlasts one that fails silently.
     *
     * @param limitMillis the time after which a withdrawn key may no longer be accepted, in milliseconds
     * @return the time in milliseconds
     */
    public static long maxPollMillis(long limitMillis) {
        return Math.max(MIN_POLL_MILLIS, (leaseMillis(limitMillis) - RECOVERY_MILLIS) / WAITS_PER_LEASE);
    }

    private static long leaseMillis(long limitMillis) {
        return limitMillis - limitMillis / MARGIN_PARTS;
    }

    /**
     * Extend the lease: the configuration in force includes everything that the store had acknowledged at an instant.
     *
     * @param sentAt the clocks when the call to the store was sent
     */
    public void confirm(ClockReading sentAt) {
        ClockReading now = check();
        boolean setBackSince = everSetBack && sentAt.firstNanos() - setBackAtNanos <= 0;
        boolean setBackUnseen = sentAt.minOffsetNanos() - now.maxOffsetNanos() > SET_BACK_NANOS;
        boolean older = valid && sentAt.firstNanos() - confirmedAt.firstNanos() < 0;
        if (setBackSince || setBackUnseen || older) {
            return;
        }
        confirmedAt = sentAt;
        valid = true;
        offsetNanos = Math.max(sentAt.minOffsetNanos(), now.minOffsetNanos());
    }

    /**
     * Return whether keys may be accepted now.
     *
     * @return whether the lease has neither expired nor ended because of a clock that was set back
     */
    public boolean isValid() {
        if (limitMillis.isEmpty()) {
            return true;
        }
        ClockReading now = check();
        return valid && now.nanosSince(confirmedAt) < leaseMillis(limitMillis.getAsLong()) * Clock.NANOS_PER_MILLI;
    }

    /**
     * Return the age of what is known of the configuration.
     *
     * @return the milliseconds since the last confirmation; empty if there is none or its age is unknown
     */
    public OptionalLong ageMillis() {
        ClockReading now = check();
        return valid ? OptionalLong.of(now.nanosSince(confirmedAt) / Clock.NANOS_PER_MILLI) : OptionalLong.empty();
    }

    /** Read the clocks, and end the lease if the wall clock was set back. */
    private ClockReading check() {
        ClockReading now = ClockReading.of(clock);
        boolean isSetBack = offsetNanos != Long.MIN_VALUE && offsetNanos - now.maxOffsetNanos() > SET_BACK_NANOS;
        if (isSetBack) {
            valid = false;
            everSetBack = true;
            setBackAtNanos = now.lastNanos();
            offsetNanos = now.minOffsetNanos();
        } else {
            offsetNanos = Math.max(offsetNanos, now.minOffsetNanos());
        }
        return now;
    }
}
