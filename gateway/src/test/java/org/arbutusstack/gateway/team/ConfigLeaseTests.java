package org.arbutusstack.gateway.team;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.arbutusstack.kernel.time.ClockReading;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for how long an entry relies on its configuration when it cannot read the store or its clocks are off. */
public class ConfigLeaseTests {

    private static final long LIMIT_MILLIS = 5_000;

    private static final long LEASE_MILLIS = 4_500;

    private ManualClock clock;

    private ConfigLease lease;

    @BeforeMethod
    void createLease() {
        clock = new ManualClock();
        clock.moveWallMillis(1_700_000_000_000L);
        lease = new ConfigLease(OptionalLong.of(LIMIT_MILLIS), clock);
    }

    private void confirmNow() {
        lease.confirm(ClockReading.of(clock));
    }

    /** Guards against an entry that accepts keys after a start before it has read the store. */
    @Test
    public void shouldBeInvalidBeforeFirstConfirmation() {
        assertFalse(lease.isValid());
        assertTrue(lease.ageMillis().isEmpty());
    }

    /** Guards against a lease that counts from the answer of a slow call, as when the entry is cut off after it. */
    @Test
    public void shouldExpireCountedFromSendingWhenEntryIsCutOff() {
        ClockReading sentAt = ClockReading.of(clock);
        clock.advanceMillis(1_000);
        lease.confirm(sentAt);
        clock.advanceMillis(LEASE_MILLIS - 1_000 - 2);
        assertTrue(lease.isValid());
        clock.advanceMillis(2);
        assertFalse(lease.isValid());
    }

    /** Guards against a frozen process that accepts keys when it goes on, before its timers run. */
    @Test
    public void shouldBeInvalidWhenProcessWasFrozen() {
        confirmNow();
        clock.advanceMillis(60_000);
        assertFalse(lease.isValid());
    }

    /** Guards against a suspended host, whose steady clock stands still. */
    @Test
    public void shouldBeInvalidWhenHostWasSuspended() {
        confirmNow();
        clock.moveWallMillis(LEASE_MILLIS);
        assertFalse(lease.isValid());
        confirmNow();
        assertTrue(lease.isValid());
    }

    /** Guards against an answer that was on its way during a suspension and looks as if the call was sent just now. */
    @Test
    public void shouldStayInvalidWhenHostWasSuspendedDuringCall() {
        ClockReading sentAt = ClockReading.of(clock);
        clock.moveWallMillis(60_000);
        lease.confirm(sentAt);
        assertFalse(lease.isValid());
    }

    /** Guards against relying on a wall clock that was set back, also for a call that was sent before. */
    @Test
    public void shouldBeInvalidUntilNextReadWhenWallClockGoesBack() {
        confirmNow();
        clock.advanceMillis(100);
        ClockReading sentBefore = ClockReading.of(clock);
        clock.moveWallMillis(-500);
        assertFalse(lease.isValid());
        lease.confirm(sentBefore);
        assertFalse(lease.isValid());
        clock.advanceMillis(1);
        confirmNow();
        assertTrue(lease.isValid());
    }

    /** Guards against a clock that is set back before the entry has looked at it. */
    @Test
    public void shouldIgnoreCallWhenWallClockWentBackUnnoticedSinceItWasSent() {
        ClockReading sentAt = ClockReading.of(clock);
        clock.moveWallMillis(-500);
        lease.confirm(sentAt);
        assertFalse(lease.isValid());
    }

    /** Guards against a suspension that a later setting of the clock makes invisible. */
    @Test
    public void shouldBeInvalidWhenClockIsSetBackAfterSuspension() {
        confirmNow();
        clock.moveWallMillis(3_000);
        assertTrue(lease.isValid());
        clock.moveWallMillis(-3_000);
        assertFalse(lease.isValid());
    }

    /** Guards against a lease that ends although the wall clock is only adjusted gradually, by up to 0.05%. */
    @Test
    public void shouldStayValidWhenWallClockIsAdjustedGradually() {
        for (int second = 1; second <= 600; second++) {
            confirmNow();
            clock.advanceMillis(1_000);
            clock.moveWallMillis(-(second % 2));
            assertTrue(lease.isValid(), second + " s");
        }
    }

    @Test
    public void shouldAlwaysBeValidWithoutLimit() {
        assertTrue(new ConfigLease(OptionalLong.empty(), clock).isValid());
    }

    /** Guards against polls so long that the lease ends while the store answers, and against polls without a pause. */
    @Test
    public void shouldLimitPollsByLease() {
        assertTrue(ConfigLease.maxPollMillis(LIMIT_MILLIS) >= 1_125);
        assertEquals(ConfigLease.maxPollMillis(100), 50);
    }
}
