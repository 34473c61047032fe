package org.arbutusstack.gateway.request;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/**
 * Passes on what runners answer, event by event or whole, and tells the dispatcher how each attempt ended.
 *
 * <p>Only an answer that the runner attests reaches a caller; one that breaks off never looks complete. Used by the
 * entry's loop only.
 *
 * @see RequestDispatcher
 */
final class AnswerRelay {

    private final RequestDispatcher dispatcher;

    private final RunnerPort runnerPort;

    private final CallerPort callers;

    private final Clock clock;

    private final GatewayMetrics metrics;

    AnswerRelay(
            RequestDispatcher dispatcher,
            RunnerPort runnerPort,
            CallerPort callers,
            Clock clock,
            GatewayMetrics metrics) {
        this.dispatcher = Assert.notNull(dispatcher, "desk");
        this.runnerPort = Assert.notNull(runnerPort, "runnerPort");
        this.callers = Assert.notNull(callers, "callers");
        this.clock = Assert.notNull(clock, "clock");
        this.metrics = Assert.notNull(metrics, "metrics");
    }

    /** Looks at the head of an answer; the body of one that is of no use is not awaited. */
    void head(ActiveRequest active, CurrentAttempt attempt) {
        AnswerHead head = attempt.head();
        if (head.claim() == AnswerKind.UNATTESTED) {
            attempt.cancel();
            attempt.runner().outcomes().failed();
            String detail = "an answer with status " + head.status() + " that is not the runner's to this request";
            dispatcher.failed(active, Refusal.outcomeUnknown(RefusalReason.BACKEND_ERROR, detail));
        }
    }

    /** Passes events on as they come. */
    void streamed(ActiveRequest active, CurrentAttempt attempt, byte[] bytes) {
        byte[] events = active.events().take(bytes);
        if (active.events().isTooLong()) {
            tooLong(active, attempt);
            return;
        }
        if (events.length > 0) {
            passOn(active, attempt, events);
        }
    }

    /** Gives up an answer, or an event of a stream, that grows without end. */
    void tooLong(ActiveRequest active, CurrentAttempt attempt) {
        attempt.cancel();
        attempt.runner().outcomes().failed();
        String detail = "an answer or event is too long to hold";
        dispatcher.failed(active, Refusal.outcomeUnknown(RefusalReason.ANSWER_TOO_LARGE, detail));
    }

    private void passOn(ActiveRequest active, CurrentAttempt attempt, byte[] bytes) {
        openStream(active, attempt);
        active.pace().passed(clock.nowNanos(), attempt.runner().running());
        active.response().write(bytes);
    }

    private void openStream(ActiveRequest active, CurrentAttempt attempt) {
        if (!active.isOpened()) {
            active.opened();
            attempt.runner().outcomes().succeeded();
            attempt.firstEventAt(clock.nowNanos());
            metrics.answered(active.request(), clock.nowNanos());
            callers.open(active.response(), attempt.head(), -1);
        }
    }

    /** Takes the end of an answer. */
    void whole(ActiveRequest active, CurrentAttempt attempt) {
        switch (attempt.head().claim()) {
            case ATTESTED -> attested(active, attempt);
            case NOT_RUN -> notRun(active, attempt, RefusalReason.QUEUE_FULL);
            case NOT_HELD -> notRun(active, attempt, RefusalReason.NO_RUNNER);
            case OTHER_INCARNATION -> {
                attempt.runner().markReplaced();
                runnerPort.closeIdleConnections(attempt.runner().entry());
                notRun(active, attempt, RefusalReason.LEAVING);
            }
            default -> throw new IllegalStateException("unattested answers end at their head");
        }
    }

    private void attested(ActiveRequest active, CurrentAttempt attempt) {
        if (attempt.passesOn()) {
            endStream(active, attempt);
            return;
        }
        ActiveRequest.BufferedAnswer answer = new ActiveRequest.BufferedAnswer(attempt.head(), attempt.body());
        if (active.isOpened()) {
            dispatcher.failed(
                    active, Refusal.outcomeUnknown(RefusalReason.BACKEND_ERROR, "the stream was not resumed"));
        } else if (attempt.head().isSuccess()) {
            attempt.runner().outcomes().succeeded();
            answer(active, answer);
        } else {
            attempt.runner().outcomes().failed();
            active.failedAnswer(answer);
            String detail = "the runner answered with status " + attempt.head().status();
            dispatcher.failed(active, Refusal.outcomeUnknown(RefusalReason.BACKEND_ERROR, detail));
        }
    }

    private void endStream(ActiveRequest active, CurrentAttempt attempt) {
        byte[] rest = active.events().rest();
        if (rest.length > 0 && !attempt.head().framed()) {
            broken(active, attempt, true, "the connection ended within an event");
            return;
        }
        openStream(active, attempt);
        if (rest.length > 0) {
            active.response().write(rest);
        }
        active.response().end();
        attempt.endedAt(clock.nowNanos());
        dispatcher.answered(active, "answered");
    }

    /** Passes a whole answer on. */
    void answer(ActiveRequest active, ActiveRequest.BufferedAnswer answer) {
        metrics.answered(active.request(), clock.nowNanos());
        callers.open(active.response(), answer.head(), answer.body().length);
        if (answer.body().length > 0) {
            active.response().write(answer.body());
        }
        active.response().end();
        dispatcher.answered(active, answer.head().isSuccess() ? "answered" : "failed-at-runner");
    }

    private void notRun(ActiveRequest active, CurrentAttempt attempt, RefusalReason reason) {
        if (attempt.head().claim() == AnswerKind.NOT_HELD) {
            attempt.runner().markNotHeld(active.request().model(), active.request().adapter());
        }
        String detail = "the runner did not run it and answered with status "
                + attempt.head().status();
        dispatcher.failed(active, Refusal.notRun(reason, detail));
    }

    /** Takes the end of an attempt without a whole answer. */
    void broken(ActiveRequest active, CurrentAttempt attempt, boolean maybeSent, String detail) {
        active.events().dropRest();
        if (maybeSent) {
            attempt.runner().outcomes().failed();
            dispatcher.failed(active, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, detail));
            return;
        }
        attempt.runner().outcomes().unreachable();
        active.neverSent();
        dispatcher.failed(active, Refusal.notRun(RefusalReason.BACKEND_LOST, detail));
    }
}
