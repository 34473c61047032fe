package org.arbutusstack.gateway.runner;

import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.PermitFrame;
import org.arbutusstack.wire.frame.PermitRequestFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limit on the requests of all entries together that a runner names in its answers, as one entry knows it, the permit
 * of this entry to send one request under the limit, and the time for which the runner wants nothing from this entry.
 *
 * <p>Permits come from one side that grants them to all entries. While it does not answer, the entry takes an equal
 * share of the limit, which is safe but leaves unused what other entries do not need.
 *
 * <p>The limit holds until an answer to a request that was sent after the limit was last named comes without one: heads
 * of answers may overtake each other. Confined to the entry's event loop.
 */
public final class RunnerLimit {

    private static final Logger logger = LoggerFactory.getLogger(RunnerLimit.class);

    /** Limit on the time that a runner can ask for, so that a wrong value does not last for ever. */
    private static final long MAX_PAUSE_MILLIS = 3_600_000;

    /** Time within which a permit has to be used. */
    private static final long PERMIT_MILLIS = 300;

    /** Time without an answer after which a request for a permit counts as lost; several round trips. */
    private static final long OVERDUE_MILLIS = 150;

    /** Part of its share that an entry uses, so that shares and permits of a transition stay within the limit. */
    private static final double USABLE_SHARE = 0.9;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final long ACCOUNT_LOG_MILLIS = 1_000;

    private final RunnerEntry runner;

    private final Clock clock;

    /** Time until which the runner wants no request from this entry. */
    private long pausedUntilNanos;

    /** Requests per second; zero while no limit is known. */
    private double requestsPerSecond;

    private long firstNamedAtNanos;

    private long lastNamedAtNanos;

    private boolean permitted;

    private long permitExpiresAtNanos;

    private boolean requested;

    private long requestedAtNanos;

    private boolean wanted;

    /** When another permit may be free. */
    private long nextPermitAtNanos;

    /** When the side is to be asked again; not later than a side that is back can grant a permit. */
    private long nextRequestAtNanos;

    /** When this entry last sent a request, or learned of the limit, if that was later. */
    private long shareCountedFromNanos;

    private long accountLoggedUntilNanos;

    /** Requests that this entry has sent since the limit was first named. */
    private int sent;

    RunnerLimit(RunnerEntry runner, Clock clock) {
        this.runner = Assert.notNull(runner, "runner");
        this.clock = Assert.notNull(clock, "clock");
        this.pausedUntilNanos = clock.nowNanos();
        this.accountLoggedUntilNanos = clock.nowNanos();
    }

    /**
     * Send nothing to the runner for a while, as it has asked this entry to.
     *
     * @param millis the time in milliseconds
     */
    public void pause(long millis) {
        logger.info("event=runner-paused runner={} service={} for_ms={}", runner.id(), runner.service(), millis);
        pausedUntilNanos = clock.deadlineNanos(Math.min(millis, MAX_PAUSE_MILLIS));
    }

    private boolean isPaused() {
        return !clock.isPast(pausedUntilNanos);
    }

    /**
     * Record what an answer says about the limit.
     *
     * @param named the requests per second that it names; zero if it names no limit
     * @param sentAtNanos when the request was sent that it answers
     */
    public void record(double named, long sentAtNanos) {
        if (named > 0) {
            boolean isFirst = requestsPerSecond == 0;
            if (isFirst) {
                firstNamedAtNanos = clock.nowNanos();
                sent = 0;
                permitted = false;
                requested = false;
                nextPermitAtNanos = clock.nowNanos();
                nextRequestAtNanos = clock.nowNanos();
                shareCountedFromNanos = clock.nowNanos();
            }
            if (named != requestsPerSecond) {
                logger.info(
                        "event=limit-named runner={} service={} per_second={} previous={} {}",
                        runner.id(),
                        runner.service(),
                        named,
                        requestsPerSecond,
                        describe());
            }
            lastNamedAtNanos = clock.nowNanos();
            requestsPerSecond = named;
        } else if (isActive() && sentAtNanos - lastNamedAtNanos > 0) {
            logger.info(
                    "event=limit-ended runner={} service={} per_second={} {}",
                    runner.id(),
                    runner.service(),
                    requestsPerSecond,
                    describe());
            requestsPerSecond = 0;
        }
    }

    /** Record that this entry sends a request to the runner, which uses the permit. */
    void recordSent() {
        if (isActive()) {
            sent++;
            permitted = false;
            shareCountedFromNanos = clock.nowNanos();
        }
    }

    /**
     * Return whether a request may be sent only after a permit was received.
     *
     * @return whether the runner wants no request now, or there is a limit and no permit that is still valid
     */
    public boolean needsPermit() {
        return isPaused() || isActive() && (!permitted || clock.isPast(permitExpiresAtNanos));
    }

    /** Mark that a request would have been sent to the runner, had there been a permit. */
    public void markWanted() {
        wanted = true;
    }

    /** Return whether a request would have been sent since the last call, had there been a permit. */
    boolean takeWanted() {
        boolean was = wanted;
        wanted = false;
        return was;
    }

    /**
     * Return the request for a permit that is to be sent now.
     *
     * @return the request; empty if none is needed or due
     */
    Optional<PermitRequestFrame> nextRequest() {
        boolean pending = requested && !isOverdue();
        if (isPaused() || !needsPermit() || pending || !clock.isPast(nextRequestAtNanos)) {
            return Optional.empty();
        }
        requested = true;
        requestedAtNanos = clock.nowNanos();
        return Optional.of(
                new PermitRequestFrame(runner.incarnation(), requestsPerSecond, clock.millisSince(lastNamedAtNanos)));
    }

    /** Return whether the last request for a permit has not been answered in time. */
    boolean isOverdue() {
        return requested && clock.isPast(requestedAtNanos + OVERDUE_MILLIS * Clock.NANOS_PER_MILLI);
    }

    /** Apply the answer to a request for a permit. */
    void answered(PermitFrame answer) {
        requested = false;
        if (answer.isGranted()) {
            permit();
        } else {
            nextPermitAtNanos = clock.deadlineNanos(answer.waitMillis());
            nextRequestAtNanos = nextPermitAtNanos;
        }
    }

    private void permit() {
        permitted = true;
        permitExpiresAtNanos = clock.deadlineNanos(PERMIT_MILLIS);
    }

    /**
     * Take this entry's equal share of the limit, since no side grants permits: one request in a slot of time of its
     * own. Shares are not saved up, since all entries could then use theirs at once.
     *
     * @param entries the number of entries that share the limit
     * @param phase the part of a period by which the slots of this entry are shifted, from 0 to 1
     */
    void takeShare(int entries, double phase) {
        if (isPaused() || !needsPermit()) {
            return;
        }
        nextRequestAtNanos = clock.deadlineNanos(OVERDUE_MILLIS);
        long slotNanos = (long) (NANOS_PER_SECOND / (requestsPerSecond * USABLE_SHARE));
        long periodNanos = entries * slotNanos;
        long sinceSlotNanos = Math.floorMod(clock.nowNanos() + (long) (phase * periodNanos), periodNanos);
        boolean isUsed = clock.nowNanos() - shareCountedFromNanos <= sinceSlotNanos;
        nextPermitAtNanos = clock.nowNanos() + periodNanos - sinceSlotNanos;
        if (sinceSlotNanos < slotNanos && !isUsed) {
            permit();
            logger.info(
                    "event=limit-share runner={} per_second={} entries={} {}",
                    runner.id(),
                    requestsPerSecond,
                    entries,
                    describe());
        }
    }

    /**
     * Return the time until another permit may be free.
     *
     * @return the time in milliseconds; zero if one may be free now
     */
    public long waitMillis() {
        long permitMillis = isActive() ? clock.millisUntil(nextPermitAtNanos) : 0;
        return Math.max(0, Math.max(permitMillis, clock.millisUntil(pausedUntilNanos)));
    }

    /**
     * Return whether a limit is known.
     *
     * @return whether the runner has named a limit that has not ended
     */
    public boolean isActive() {
        return requestsPerSecond > 0;
    }

    /** Log the account of this entry once a second while the limit is known. */
    void logAccount() {
        if (!isActive() || !clock.isPast(accountLoggedUntilNanos)) {
            return;
        }
        accountLoggedUntilNanos = clock.deadlineNanos(ACCOUNT_LOG_MILLIS);
        logger.info(
                "event=limit-account runner={} service={} per_second={} {} permitted={} wait_ms={}",
                runner.id(),
                runner.service(),
                requestsPerSecond,
                describe(),
                !needsPermit(),
                waitMillis());
    }

    /**
     * Describe the limit for logs.
     *
     * @return for how long it is known, how long ago it was named last, and what this entry has sent since it was first
     */
    public String describe() {
        return isActive()
                ? "known_ms=" + clock.millisSince(firstNamedAtNanos) + " age_ms=" + clock.millisSince(lastNamedAtNanos)
                        + " sent=" + sent
                : "known_ms=0";
    }
}
