package org.arbutusstack.side;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.http.client.MalformedResponseException;
import org.arbutusstack.http.event.EventStreamParser;
import org.arbutusstack.http.event.ServerSentEvent;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.side.claim.RecordedAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executor that runs work on the backend server and turns its responses and failures into answers and refusals.
 * Confined to the side's event loop.
 */
final class WorkRunner {

    private static final Logger logger = LoggerFactory.getLogger(WorkRunner.class);

    private static final int OK = 200;

    private static final int MAX_BUFFERED_ANSWER_BYTES = 2 * 1_024 * 1_024;

    private static final String EVENT_STREAM = "text/event-stream";

    private static final byte[] TERMINAL_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final Clock clock;

    private final BackendClient backend;

    private final ClaimCoordinator claims;

    private final WorkRegistry registry;

    private final SuspectRequestTracker suspects;

    private final AnswerSender answers;

    private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();

    WorkRunner(
            Clock clock,
            BackendClient backend,
            ClaimCoordinator claims,
            WorkRegistry registry,
            SuspectRequestTracker suspects,
            AnswerSender answers) {
        this.clock = Assert.notNull(clock, "clock");
        this.backend = Assert.notNull(backend, "backend");
        this.claims = Assert.notNull(claims, "claims");
        this.registry = Assert.notNull(registry, "registry");
        this.suspects = Assert.notNull(suspects, "suspects");
        this.answers = Assert.notNull(answers, "answers");
    }

    /** Return the estimated time until a queued request is answered, in nanoseconds. */
    long estimateNanos(String model, int ahead, int slots) {
        return serviceTimes.estimateNanos(model, ahead, slots);
    }

    double requestsPerSecond(int slots) {
        return serviceTimes.requestsPerSecond(slots);
    }

    /** Send work to the backend server; non-idempotent work only once its claim is granted. */
    void start(WorkItem work) {
        if (suspects.isRefused(work)) {
            registry.end(work);
            answers.refuse(work, SuspectRequestTracker.QUARANTINED);
            return;
        }
        if (suspects.isSuspect(work)) {
            work.markExclusive();
        }
        work.markDispatched(clock.nowNanos());
        registry.markDispatched(work);
        if (work.frame().idempotent()) {
            send(work);
        } else if (!claims.claim(work)) {
            registry.end(work);
            answers.refuse(work, Refusal.notRun(RefusalReason.CLAIM_UNAVAILABLE, "too many claims wait"));
        }
    }

    void handleClaimResult(WorkItem work, ClaimResult result) {
        if (work.isEnded()) {
            return;
        }
        if (result instanceof ClaimResult.Granted) {
            sendClaimed(work);
            return;
        }
        registry.end(work);
        if (result instanceof ClaimResult.Answered answered) {
            replayAnswer(work, answered.answer());
        } else if (result instanceof ClaimResult.Taken taken) {
            answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.ALREADY_CLAIMED, taken.detail()));
        } else if (result instanceof ClaimResult.KeyReused) {
            String detail = "the idempotency key was used for a call with other content";
            answers.refuse(work, Refusal.rejected(RefusalReason.IDEMPOTENCY_KEY_REUSED, detail));
        } else if (result instanceof ClaimResult.Unavailable unavailable) {
            answers.refuse(work, Refusal.notRun(RefusalReason.CLAIM_UNAVAILABLE, unavailable.detail()));
        }
    }

    private void sendClaimed(WorkItem work) {
        if (!clock.isPast(work.deadlineNanos())) {
            send(work);
            return;
        }
        registry.end(work);
        claims.release(work);
        String detail = "the claim was recorded after the deadline";
        answers.refuse(work, Refusal.notRun(RefusalReason.DEADLINE_PASSED, detail));
    }

    /** Answer a repeated call from its recorded outcome. */
    private void replayAnswer(WorkItem work, RecordedAnswer answer) {
        if (!answer.bodyKept()) {
            String detail = "the call ran and was answered with status " + answer.status()
                    + "; the answer was too large to be kept";
            answers.refuse(work, Refusal.rejected(RefusalReason.ANSWER_NOT_KEPT, detail));
            return;
        }
        work.headReceived(answer.status(), answer.contentType());
        answers.sendHead(work);
        answers.sendLastPart(work, answer.body(), answer.body().length);
    }

    private void send(WorkItem work) {
        work.recordProgress(clock.nowNanos());
        try {
            work.markSent(backend.send(work));
        } catch (SideException malformed) {
            registry.end(work);
            answers.refuse(work, Refusal.rejected(RefusalReason.MALFORMED, malformed.getMessage()));
        }
    }

    void handleHead(WorkItem work, int status, String contentType) {
        if (work.isEnded()) {
            return;
        }
        work.recordProgress(clock.nowNanos());
        work.headReceived(status, contentType);
        if (!contentType.startsWith(EVENT_STREAM)) {
            work.markComplete();
        }
        if (work.frame().idempotent()) {
            answers.sendHead(work);
        }
    }

    void handleBytes(WorkItem work, byte[] bytes) {
        if (work.isEnded() || work.isBroken()) {
            return;
        }
        work.recordProgress(clock.nowNanos());
        if (!work.isAnswerBegun()) {
            work.markAnswerBegun();
            suspects.answerBegun(work);
        }
        if (!work.frame().idempotent()) {
            bufferAnswer(work, bytes);
            return;
        }
        if (!work.frame().stream()) {
            answers.sendPart(work, bytes, bytes.length);
        } else if (!work.contentType().startsWith(EVENT_STREAM)) {
            answers.sendPart(work, bytes, 0);
        } else if (!work.isComplete()) {
            relayEvents(work, bytes);
        }
    }

    /** Relay the events that the received bytes complete, up to the last of the stream or to bytes that are none. */
    private void relayEvents(WorkItem work, byte[] bytes) {
        EventStreamParser.Result parsed = work.events().parse(bytes);
        List<ServerSentEvent> relayed = new ArrayList<>(parsed.events().size());
        String fault = parsed.fault();
        for (ServerSentEvent event : parsed.events()) {
            if (!event.hasData()) {
                fault = "an event without data";
                break;
            }
            relayed.add(event);
            if (Arrays.equals(event.bytes(), TERMINAL_EVENT)) {
                work.markComplete();
                break;
            }
        }
        if (!relayed.isEmpty()) {
            answers.sendPart(work, ServerSentEvent.join(relayed), relayed.size());
        }
        if (!fault.isEmpty() && !work.isComplete()) {
            RefusalReason reason = parsed.isTooLong() ? RefusalReason.ANSWER_TOO_LARGE : RefusalReason.BACKEND_ERROR;
            rejectStream(work, reason, "the stream holds " + fault);
        }
    }

    private void rejectStream(WorkItem work, RefusalReason reason, String detail) {
        logger.info(
                "event=stream-rejected request={} detail=\"{}\"", work.frame().id(), detail);
        registry.end(work);
        backend.cancel(work);
        answers.refuse(work, Refusal.outcomeUnknown(reason, detail));
    }

    private void bufferAnswer(WorkItem work, byte[] bytes) {
        work.buffer().writeBytes(bytes);
        if (work.buffer().size() > MAX_BUFFERED_ANSWER_BYTES) {
            registry.end(work);
            claims.recordOutcome(
                    work, work.status(), work.contentType(), work.buffer().toByteArray());
            String detail = "the call ran; its answer of status " + work.status() + " is too large to be given";
            answers.refuse(work, Refusal.rejected(RefusalReason.ANSWER_NOT_KEPT, detail));
        }
    }

    void handleEnd(WorkItem work) {
        if (work.isEnded()) {
            return;
        }
        registry.end(work);
        if (work.isBroken()) {
            answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "the answer broke off"));
            return;
        }
        if (!work.isComplete()) {
            refuseBackendLost(work, "the answer broke off");
            return;
        }
        if (work.status() == OK) {
            suspects.completed(work);
        }
        serviceTimes.add(work.frame().model(), clock.nowNanos() - work.dispatchedAtNanos());
        if (work.frame().idempotent()) {
            answers.sendLastPart(work, new byte[0], 0);
            return;
        }
        byte[] rest = work.buffer().toByteArray();
        claims.recordOutcome(work, work.status(), work.contentType(), rest);
        answers.sendHead(work);
        answers.sendLastPart(work, rest, rest.length);
    }

    void handleFailure(WorkItem work, HttpException failure) {
        if (work.isEnded()) {
            return;
        }
        registry.end(work);
        if (failure instanceof MalformedResponseException) {
            // The backend server answered, if wrongly, so that the request is not suspected of having crashed it.
            logger.info(
                    "event=answer-malformed request={} detail={}", work.frame().id(), failure.getMessage());
            answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.BACKEND_ERROR, failure.getMessage()));
            return;
        }
        boolean late = clock.isPast(work.deadlineNanos());
        RefusalReason reason = late ? RefusalReason.DEADLINE_PASSED : RefusalReason.BACKEND_LOST;
        logger.info("event=work-failed request={} detail={}", work.frame().id(), failure.getMessage());
        if (failure.maybeSent() && !late && !work.isBroken()) {
            refuseBackendLost(work, failure.getMessage());
            return;
        }
        if (failure.maybeSent()) {
            answers.refuse(work, Refusal.outcomeUnknown(reason, failure.getMessage()));
            return;
        }
        if (!work.frame().idempotent()) {
            claims.release(work);
        }
        answers.refuse(work, Refusal.notRun(reason, failure.getMessage()));
    }

    /** Refuse a request whose connection to the backend server broke while it ran. */
    private void refuseBackendLost(WorkItem work, String detail) {
        suspects.engineLost(work);
        answers.refuse(
                work,
                suspects.isRefused(work)
                        ? SuspectRequestTracker.QUARANTINED
                        : Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, detail));
    }

    /** Abort work whose backend server stopped responding, and close the idle connections to that server. */
    void abortStalled(WorkItem work) {
        logger.warn("event=backend-silent request={}", work.frame().id());
        registry.end(work);
        backend.closeIdleConnections();
        if (work.frame().idempotent()) {
            backend.cancel(work);
        }
        answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "the backend server went silent"));
    }
}
