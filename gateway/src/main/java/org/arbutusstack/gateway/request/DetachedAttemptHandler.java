package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Handler for attempts of requests whose callers have left, but which run to their end since they may run only once:
 * relays nothing, and draws the same conclusions about the runner and the content as from any other attempt.
 *
 * <p>Confined to the entry's event loop.
 *
 * @see AnswerRelay
 */
final class DetachedAttemptHandler {

    private final Clock clock;

    private final GatewayMetrics metrics;

    private final DecisionLog log;

    private final RequestQuarantine quarantine;

    private final RunnerNoticeHandler notices;

    DetachedAttemptHandler(
            Clock clock,
            GatewayMetrics metrics,
            DecisionLog log,
            RequestQuarantine quarantine,
            RunnerNoticeHandler notices) {
        this.clock = Assert.notNull(clock, "clock");
        this.metrics = Assert.notNull(metrics, "metrics");
        this.log = Assert.notNull(log, "log");
        this.quarantine = Assert.notNull(quarantine, "quarantine");
        this.notices = Assert.notNull(notices, "notices");
    }

    void headReceived(CurrentAttempt attempt) {
        notices.headReceived(attempt);
    }

    void completed(ActiveRequest active, CurrentAttempt attempt) {
        KnownRunner runner = attempt.runner();
        switch (attempt.head().answerKind()) {
            case ATTESTED -> attestedCompleted(active, attempt);
            case UNATTESTED -> runner.outcomes().failed();
            case NOT_HELD ->
                runner.markNotHeld(active.request().model(), active.request().adapter());
            case OTHER_INCARNATION -> notices.retire(runner);
            default -> {
                // A runner that had no room says nothing about its health.
            }
        }
    }

    private void attestedCompleted(ActiveRequest active, CurrentAttempt attempt) {
        if (attempt.endedAfterHead()) {
            failed(active, attempt, true);
        } else if (attempt.head().isSuccess()) {
            attempt.runner().outcomes().succeeded();
            attempt.recordAnswer(clock.nowNanos());
            quarantine.answerBegun(active);
            quarantine.answerCompleted(active);
        } else {
            attempt.runner().outcomes().failed();
        }
    }

    /** Handle the end of an attempt without a complete answer; past the deadline, this entry has caused it. */
    void failed(ActiveRequest active, CurrentAttempt attempt, boolean maybeSent) {
        if (clock.isPast(active.request().deadlineNanos())) {
            return;
        }
        if (!maybeSent) {
            attempt.runner().outcomes().unreachable();
            quarantine.attemptUnreachable(attempt);
            return;
        }
        attempt.runner().outcomes().failed();
        log.lost(active, attempt);
        quarantine.attemptLost(active, attempt);
        metrics.countLost(active.request(), attempt.isBegun());
    }
}
