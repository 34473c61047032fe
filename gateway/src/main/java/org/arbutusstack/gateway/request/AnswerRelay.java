package org.arbutusstack.gateway.request;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.gateway.pressure.Backpressure;
import org.arbutusstack.http.event.EventStreamParser;
import org.arbutusstack.http.event.ServerSentEvent;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/**
 * Relay that passes the answers of runners to callers, event by event or as a whole, and reports the end of each
 * attempt to the dispatcher.
 *
 * <p>Only an answer attested by the runner reaches a caller, and an interrupted answer never looks complete. Confined
 * to the entry's event loop.
 *
 * @see RequestDispatcher
 */
final class AnswerRelay {

    private final RequestDispatcher dispatcher;

    private final RequestSteps steps;

    private final CallerPort callers;

    private final Clock clock;

    private final GatewayMetrics metrics;

    private final DecisionLog log;

    private final RequestQuarantine quarantine;

    private final RunnerNoticeHandler notices;

    private final DetachedAttemptHandler detachedAttempts;

    private final AnswerMemory<CurrentAttempt> memory;

    private final Backpressure backpressure;

    AnswerRelay(
            RequestDispatcher dispatcher,
            RequestSteps steps,
            RunnerPort runnerPort,
            CallerPort callers,
            Clock clock,
            AttemptLimits limits,
            GatewayMetrics metrics,
            DecisionLog log,
            RequestQuarantine quarantine) {
        this.dispatcher = Assert.notNull(dispatcher, "dispatcher");
        this.steps = Assert.notNull(steps, "steps");
        this.callers = Assert.notNull(callers, "callers");
        this.clock = Assert.notNull(clock, "clock");
        this.metrics = Assert.notNull(metrics, "metrics");
        this.log = Assert.notNull(log, "log");
        this.quarantine = Assert.notNull(quarantine, "quarantine");
        this.notices = new RunnerNoticeHandler(runnerPort, log);
        this.detachedAttempts = new DetachedAttemptHandler(clock, metrics, log, quarantine, notices);
        this.memory = new AnswerMemory<>(limits.maxHeldAnswerBytes());
        this.backpressure = limits.backpressure();
    }

    /** Return the handler for attempts of requests whose callers have left. */
    DetachedAttemptHandler detachedAttempts() {
        return detachedAttempts;
    }

    /** Run a step in which the answer to an attempt is handled. */
    void handle(CurrentAttempt attempt, Runnable step) {
        steps.run(attempt.owner(), step);
    }

    /** Fail the attempt at once if the head shows that the answer is not the runner's, without waiting for the body. */
    void headReceived(ActiveRequest active, CurrentAttempt attempt) {
        AnswerHead head = attempt.head();
        notices.headReceived(attempt);
        if (head.answerKind() == AnswerKind.UNATTESTED) {
            String detail = "an answer with status " + head.status() + " that is not the runner's to this request";
            rejectAnswer(active, attempt, RefusalReason.BACKEND_ERROR, detail);
        }
    }

    /** Relay the events that the received bytes complete, up to one that does not continue the stream. */
    void bytesReceived(ActiveRequest active, CurrentAttempt attempt, byte[] bytes) {
        EventStreamParser.Result parsed = attempt.events().parse(bytes);
        List<ServerSentEvent> relayed = new ArrayList<>(parsed.events().size());
        String fault = "";
        for (ServerSentEvent event : parsed.events()) {
            fault = active.events().add(event);
            if (!fault.isEmpty()) {
                break;
            }
            relayed.add(event);
        }
        if (!relayed.isEmpty()) {
            relayEvents(active, attempt, ServerSentEvent.join(relayed));
        }
        if (active.attempt() != attempt) {
            // The caller reads too slowly, and its stream was ended while the events were written.
            return;
        }
        if (fault.isEmpty() && parsed.isTooLong()) {
            answerTooLarge(active, attempt);
        } else if (!fault.isEmpty() || parsed.isRejected()) {
            String detail = "the stream holds " + (fault.isEmpty() ? parsed.fault() : fault);
            rejectAnswer(active, attempt, RefusalReason.BACKEND_ERROR, detail);
        }
    }

    /** Fail an attempt whose answer, or an event of whose stream, exceeds the size limit. */
    void answerTooLarge(ActiveRequest active, CurrentAttempt attempt) {
        rejectAnswer(active, attempt, RefusalReason.ANSWER_TOO_LARGE, "an answer or event is too long to hold");
    }

    /** Fail an attempt to which the runner has sent what is no answer. */
    void answerMalformed(ActiveRequest active, CurrentAttempt attempt, String detail) {
        rejectAnswer(active, attempt, RefusalReason.BACKEND_ERROR, detail);
    }

    /** Account for the bytes that an attempt holds, and give up the longest answers while all are too long together. */
    void hold(CurrentAttempt attempt, long bytes) {
        if (!memory.update(attempt, bytes)) {
            return;
        }
        while (memory.isExceeded()) {
            CurrentAttempt longest = memory.largest();
            release(longest);
            String detail = "the answers in progress are too long to hold, this one the longest";
            handle(longest, () -> rejectAnswer(longest.owner(), longest, RefusalReason.ANSWER_TOO_LARGE, detail));
        }
        metrics.updateHeldAnswers(memory.totalBytes());
        String id = attempt.owner().request().id();
        backpressure.answerHeld(
                attempt,
                id,
                memory.bytesOf(attempt),
                () -> giveUp(
                        attempt, RefusalReason.ANSWER_TOO_LARGE, "the entry has no memory left to hold the answer"));
    }

    /** Stop accounting for an attempt that has ended. */
    void release(CurrentAttempt attempt) {
        backpressure.sendEnded(attempt);
        if (memory.release(attempt)) {
            backpressure.answerReleased(attempt);
            metrics.updateHeldAnswers(memory.totalBytes());
        }
    }

    /** Watch the body of an attempt that was just sent, if the request may be repeated at another runner. */
    void sendBegun(CurrentAttempt attempt, RunnerPort.Attempt sent) {
        ActiveRequest active = attempt.owner();
        InboundRequest request = active.request();
        boolean mayRetry = request.route().mayRepeat()
                && active.possibleRuns() + 1 < request.route().maxAttempts();
        if (mayRetry) {
            backpressure.sending(
                    attempt,
                    sent::unsentBytes,
                    request.body().length,
                    request.route().callerTimeoutMillis(),
                    request.deadlineNanos(),
                    () -> sendTooSlow(attempt));
        }
    }

    private void sendTooSlow(CurrentAttempt attempt) {
        if (attempt.owner().attempt() != attempt) {
            return;
        }
        attempt.runner().outcomes().failed();
        giveUp(attempt, RefusalReason.BACKEND_LOST, "the runner read the request too slowly");
    }

    /**
     * End an attempt that may have run, although neither its answer nor its connection is at fault. Does nothing if it
     * has already ended: ending one holding may end another that was found at the same time.
     */
    private void giveUp(CurrentAttempt attempt, RefusalReason reason, String detail) {
        if (attempt.owner().attempt() != attempt) {
            return;
        }
        attempt.cancel();
        dispatcher.retryOrRefuse(attempt.owner(), Refusal.outcomeUnknown(reason, detail));
    }

    /**
     * Fail an attempt whose answer cannot be relayed although its connection did not break, which is no sign that the
     * runner crashed.
     */
    private void rejectAnswer(ActiveRequest active, CurrentAttempt attempt, RefusalReason reason, String detail) {
        attempt.cancel();
        attempt.runner().outcomes().failed();
        dispatcher.retryOrRefuse(active, Refusal.outcomeUnknown(reason, detail));
    }

    private void relayEvents(ActiveRequest active, CurrentAttempt attempt, byte[] bytes) {
        openStream(active, attempt);
        attempt.recordEvent();
        active.progress().recordEvents(clock.nowNanos(), attempt.runner().running());
        write(active, bytes, true);
    }

    /** Write to the caller's connection, which may end this or another answer to free memory. */
    private void write(ActiveRequest active, byte[] bytes, boolean streamed) {
        active.response().write(bytes);
        backpressure.written(active.response(), active.request().id(), bytes.length, streamed);
    }

    private void openStream(ActiveRequest active, CurrentAttempt attempt) {
        if (!active.isOpened()) {
            active.opened();
            dispatcher.streamBegun(active, attempt.runner());
            attempt.runner().outcomes().succeeded();
            attempt.recordFirstEvent(clock.nowNanos());
            quarantine.answerBegun(active);
            metrics.recordFirstByte(active.request(), clock.nowNanos());
            callers.open(active.response(), attempt.head(), -1);
        }
    }

    /** Handle the end of an answer. */
    void answerCompleted(ActiveRequest active, CurrentAttempt attempt) {
        switch (attempt.head().answerKind()) {
            case ATTESTED -> handleAttested(active, attempt);
            case NOT_RUN -> handleNotRun(active, attempt, RefusalReason.QUEUE_FULL);
            case NOT_HELD -> handleNotRun(active, attempt, RefusalReason.NO_RUNNER);
            case OTHER_INCARNATION -> {
                notices.retire(attempt.runner());
                handleNotRun(active, attempt, RefusalReason.LEAVING);
            }
            default -> throw new IllegalStateException("an unattested answer must be rejected at its head");
        }
    }

    private void handleAttested(ActiveRequest active, CurrentAttempt attempt) {
        if (attempt.endedAfterHead()) {
            attemptFailed(active, attempt, true, "the connection ended after the head of the answer");
            return;
        }
        if (attempt.isStreamed()) {
            endStream(active, attempt);
            return;
        }
        ActiveRequest.BufferedAnswer answer = new ActiveRequest.BufferedAnswer(attempt.head(), attempt.body());
        if (active.isOpened()) {
            dispatcher.retryOrRefuse(
                    active, Refusal.outcomeUnknown(RefusalReason.BACKEND_ERROR, "the stream was not resumed"));
        } else if (attempt.head().isSuccess()) {
            attempt.runner().outcomes().succeeded();
            attempt.recordAnswer(clock.nowNanos());
            quarantine.answerBegun(active);
            // The bytes are counted as unread by the caller from here on, and a ready answer is not given up.
            release(attempt);
            relayAnswer(active, answer);
        } else {
            attempt.runner().outcomes().failed();
            active.failedAnswer(answer);
            String detail = "the runner answered with status " + attempt.head().status();
            dispatcher.retryOrRefuse(active, Refusal.outcomeUnknown(RefusalReason.BACKEND_ERROR, detail));
        }
    }

    private void endStream(ActiveRequest active, CurrentAttempt attempt) {
        boolean isWithinEvent = attempt.events().isWithinEvent();
        if (isWithinEvent && attempt.head().framed()) {
            rejectAnswer(active, attempt, RefusalReason.BACKEND_LOST, "the stream ended within an event");
            return;
        }
        if (isWithinEvent) {
            attemptFailed(active, attempt, true, "the connection ended within an event");
            return;
        }
        openStream(active, attempt);
        active.response().end();
        attempt.recordStreamEnd(clock.nowNanos());
        quarantine.answerCompleted(active);
        dispatcher.complete(active, "answered");
    }

    /** Relay a complete answer. A request whose answer cannot be written is not answered in another way. */
    void relayAnswer(ActiveRequest active, ActiveRequest.BufferedAnswer answer) {
        active.opened();
        metrics.recordFirstByte(active.request(), clock.nowNanos());
        callers.open(active.response(), answer.head(), answer.body().length);
        if (answer.body().length > 0) {
            write(active, answer.body(), false);
        }
        if (active.isEnded()) {
            return;
        }
        active.response().end();
        if (answer.head().isSuccess()) {
            quarantine.answerCompleted(active);
        }
        dispatcher.complete(active, answer.head().isSuccess() ? "answered" : "failed-at-runner");
    }

    private void handleNotRun(ActiveRequest active, CurrentAttempt attempt, RefusalReason reason) {
        if (attempt.head().answerKind() == AnswerKind.NOT_HELD) {
            attempt.runner()
                    .markNotHeld(active.request().model(), active.request().adapter());
        }
        String detail = "the runner did not run it and answered with status "
                + attempt.head().status();
        dispatcher.retryOrRefuse(active, Refusal.notRun(reason, detail));
    }

    /** Handle the end of an attempt without a complete answer. */
    void attemptFailed(ActiveRequest active, CurrentAttempt attempt, boolean maybeSent, String detail) {
        if (maybeSent) {
            attempt.runner().outcomes().failed();
            log.lost(active, attempt);
            quarantine.attemptLost(active, attempt);
            metrics.countLost(active.request(), attempt.isBegun());
            dispatcher.retryOrRefuse(active, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, detail));
            return;
        }
        attempt.runner().outcomes().unreachable();
        quarantine.attemptUnreachable(attempt);
        active.undoSend();
        dispatcher.retryOrRefuse(active, Refusal.notRun(RefusalReason.BACKEND_LOST, detail));
    }
}
