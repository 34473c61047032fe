package org.arbutusstack.gateway.agent;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Judges a runner by the outcomes that all entries tell, since its own word may be wrong and one entry alone of many
 * sends it too little to learn from.
 *
 * <p>A runner in doubt is left alone for a while that doubles each time; then single requests are let through until it
 * has answered a few. Does no I/O; safe for use by any thread.
 */
final class SharedHealth {

    private static final double WEIGHT_OF_LATEST = 0.25;

    /** The share of recent failures above which a runner is in doubt: over any error rate of a sound service. */
    private static final double DOUBT_SHARE = 0.45;

    /** How long a failure counts: entries tell all failures, but answers only of a runner in doubt. */
    private static final double FADING_MILLIS = 2_000;

    private static final long FIRST_REST_MILLIS = 500;

    /** About the time for which a runner that crashed is away. */
    private static final long LONGEST_REST_MILLIS = 4_000;

    /** The pause between two requests that try a runner in doubt. */
    private static final long TRIAL_MILLIS = 200;

    /** The answers after which a runner is trusted again. */
    private static final int TRUSTED_AFTER = 3;

    private final Clock clock;

    private double failures;

    private long observedAtNanos;

    private boolean doubted;

    private long restMillis = FIRST_REST_MILLIS;

    private long restUntilNanos;

    private long triedAtNanos;

    private int answersInDoubt;

    SharedHealth(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.observedAtNanos = clock.nowNanos();
    }

    /** Notes the outcome of a request at the runner. */
    synchronized void observed(boolean failed) {
        double passedMillis = (clock.nowNanos() - observedAtNanos) / (double) Clock.NANOS_PER_MILLI;
        failures *= (1 - WEIGHT_OF_LATEST) * Math.exp(-passedMillis / FADING_MILLIS);
        observedAtNanos = clock.nowNanos();
        if (failed) {
            failures += WEIGHT_OF_LATEST;
            doubtIfGrave();
        } else if (doubted && clock.isPast(restUntilNanos)) {
            answersInDoubt++;
            if (answersInDoubt >= TRUSTED_AFTER) {
                trust();
            }
        }
    }

    private void doubtIfGrave() {
        boolean resting = doubted && !clock.isPast(restUntilNanos);
        if (resting || !doubted && failures <= DOUBT_SHARE) {
            return;
        }
        restMillis = doubted ? Math.min(LONGEST_REST_MILLIS, 2 * restMillis) : FIRST_REST_MILLIS;
        doubted = true;
        answersInDoubt = 0;
        restUntilNanos = clock.deadlineNanos(restMillis);
    }

    /** Trusts the runner: it answers, or another incarnation has taken its place. */
    synchronized void trust() {
        doubted = false;
        failures = 0;
        answersInDoubt = 0;
    }

    /** Tells whether entries are to prefer other runners. */
    synchronized boolean isInDoubt() {
        return doubted && !clock.isPast(restUntilNanos);
    }

    /** Tells an entry that wants to send whether to prefer other runners; lets single requests try the runner. */
    synchronized boolean isInDoubtForNext() {
        if (!doubted) {
            return false;
        }
        boolean trialDue =
                clock.isPast(restUntilNanos) && clock.isPast(triedAtNanos + TRIAL_MILLIS * Clock.NANOS_PER_MILLI);
        if (trialDue) {
            triedAtNanos = clock.nowNanos();
        }
        return !trialDue;
    }
}
