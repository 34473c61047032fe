package org.arbutusstack.side;

import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.side.claim.RecordedAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs work on the backend server and turns what comes of it into answers and refusals. Used by the side's duty only.
 */
final class WorkRunner {

    private static final Logger logger = LoggerFactory.getLogger(WorkRunner.class);

    private static final int OK = 200;

    private static final int MOST_COLLECTED_BYTES = 2 * 1_024 * 1_024;

    private static final String EVENT_STREAM = "text/event-stream";

    private final Clock clock;

    private final Backend backend;

    private final ClaimDesk claims;

    private final OpenWork open;

    private final SuspectDesk suspects;

    private final AnswerSender answers;

    private final ServiceTimes times = new ServiceTimes();

    WorkRunner(
            Clock clock, Backend backend, ClaimDesk claims, OpenWork open, SuspectDesk suspects, AnswerSender answers) {
        this.clock = Assert.notNull(clock, "clock");
        this.backend = Assert.notNull(backend, "backend");
        this.claims = Assert.notNull(claims, "claims");
        this.open = Assert.notNull(open, "open");
        this.suspects = Assert.notNull(suspects, "suspects");
        this.answers = Assert.notNull(answers, "answers");
    }

    /** Estimates how long a request takes that has to wait, in nanoseconds. */
    long estimateNanos(String model, int ahead, int slots) {
        return times.estimateNanos(model, ahead, slots);
    }

    double runsPerSecond(int slots) {
        return times.runsPerSecond(slots);
    }

    /** Sends work to the backend server, after its claim if it may not be repeated. */
    void start(Work work) {
        if (suspects.isRefused(work)) {
            open.end(work);
            answers.refuse(work, SuspectDesk.QUARANTINED);
            return;
        }
        if (suspects.isSuspect(work)) {
            work.runAlone();
        }
        work.dispatchedAt(clock.nowNanos());
        open.dispatched(work);
        if (work.frame().idempotent()) {
            send(work);
        } else if (!claims.claim(work)) {
            open.end(work);
            answers.refuse(work, Refusal.notRun(RefusalReason.CLAIM_UNAVAILABLE, "too many claims wait"));
        }
    }

    void claimSettled(Work work, ClaimResult result) {
        if (work.isEnded()) {
            return;
        }
        if (result instanceof ClaimResult.Granted) {
            sendClaimed(work);
            return;
        }
        open.end(work);
        if (result instanceof ClaimResult.Answered answered) {
            answerAgain(work, answered.answer());
        } else if (result instanceof ClaimResult.Taken taken) {
            answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.ALREADY_CLAIMED, taken.detail()));
        } else if (result instanceof ClaimResult.KeyReused) {
            String detail = "the idempotency key was used for a call with other content";
            answers.refuse(work, Refusal.rejected(RefusalReason.IDEMPOTENCY_KEY_REUSED, detail));
        } else if (result instanceof ClaimResult.Unavailable unavailable) {
            answers.refuse(work, Refusal.notRun(RefusalReason.CLAIM_UNAVAILABLE, unavailable.detail()));
        }
    }

    private void sendClaimed(Work work) {
        if (!clock.isPast(work.deadlineNanos())) {
            send(work);
            return;
        }
        open.end(work);
        claims.release(work);
        String detail = "the claim was recorded after the deadline";
        answers.refuse(work, Refusal.notRun(RefusalReason.DEADLINE_PASSED, detail));
    }

    private void answerAgain(Work work, RecordedAnswer answer) {
        if (!answer.bodyKept()) {
            String detail = "the call ran and was answered with status " + answer.status()
                    + "; the answer was too large to be kept";
            answers.refuse(work, Refusal.rejected(RefusalReason.ANSWER_NOT_KEPT, detail));
            return;
        }
        work.opened(answer.status(), answer.contentType());
        answers.head(work);
        answers.lastPart(work, answer.body(), answer.body().length);
    }

    private void send(Work work) {
        work.progressedAt(clock.nowNanos());
        try {
            work.sent(backend.send(work));
        } catch (SideException malformed) {
            open.end(work);
            answers.refuse(work, Refusal.rejected(RefusalReason.MALFORMED, malformed.getMessage()));
        }
    }

    void head(Work work, int status, String contentType) {
        if (work.isEnded()) {
            return;
        }
        work.progressedAt(clock.nowNanos());
        work.opened(status, contentType);
        if (!contentType.startsWith(EVENT_STREAM)) {
            work.markWhole();
        }
        if (work.frame().idempotent()) {
            answers.head(work);
        }
    }

    void bytes(Work work, byte[] bytes) {
        if (work.isEnded() || work.isBroken()) {
            return;
        }
        work.progressedAt(clock.nowNanos());
        if (!work.frame().idempotent()) {
            collect(work, bytes);
            return;
        }
        if (!work.frame().stream()) {
            answers.part(work, bytes, bytes.length);
            return;
        }
        work.partial().writeBytes(bytes);
        EventStreams.Events events = EventStreams.split(work.partial().toByteArray());
        if (events.count() == 0) {
            return;
        }
        work.partial().reset();
        work.partial().writeBytes(events.rest());
        if (events.isLast()) {
            work.markWhole();
        }
        answers.part(work, events.whole(), events.count());
    }

    private void collect(Work work, byte[] bytes) {
        work.partial().writeBytes(bytes);
        if (work.partial().size() > MOST_COLLECTED_BYTES) {
            open.end(work);
            claims.recordOutcome(
                    work, work.status(), work.contentType(), work.partial().toByteArray());
            String detail = "the call ran; its answer of status " + work.status() + " is too large to be given";
            answers.refuse(work, Refusal.rejected(RefusalReason.ANSWER_NOT_KEPT, detail));
        }
    }

    void backendEnded(Work work) {
        if (work.isEnded()) {
            return;
        }
        open.end(work);
        if (work.isBroken()) {
            answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "the answer broke off"));
            return;
        }
        if (!work.isWhole()) {
            refuseLost(work, "the answer broke off");
            return;
        }
        if (work.status() == OK) {
            suspects.completed(work);
        }
        times.add(work.frame().model(), clock.nowNanos() - work.dispatchedAtNanos());
        byte[] rest = work.partial().toByteArray();
        if (work.frame().idempotent()) {
            answers.lastPart(work, rest, 0);
            return;
        }
        claims.recordOutcome(work, work.status(), work.contentType(), rest);
        answers.head(work);
        answers.lastPart(work, rest, rest.length);
    }

    void backendFailed(Work work, HttpException failure) {
        if (work.isEnded()) {
            return;
        }
        open.end(work);
        boolean late = clock.isPast(work.deadlineNanos());
        RefusalReason reason = late ? RefusalReason.DEADLINE_PASSED : RefusalReason.BACKEND_LOST;
        logger.info("event=work-failed request={} detail={}", work.frame().id(), failure.getMessage());
        if (failure.maybeSent() && !late && !work.isBroken()) {
            refuseLost(work, failure.getMessage());
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

    /** Refuses a request during which the connection to the backend server broke. */
    private void refuseLost(Work work, String detail) {
        suspects.lost(work);
        answers.refuse(
                work,
                suspects.isRefused(work)
                        ? SuspectDesk.QUARANTINED
                        : Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, detail));
    }

    /** Gives up on an answer of a backend server that went silent. */
    void giveUpSilent(Work work) {
        logger.warn("event=backend-silent request={}", work.frame().id());
        open.end(work);
        backend.forgetIdleConnections();
        if (work.frame().idempotent()) {
            backend.cancel(work);
        }
        answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "the backend server went silent"));
    }
}
