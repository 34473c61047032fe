package org.arbutusstack.side;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.side.claim.RecordedAnswer;
import org.arbutusstack.wire.frame.ReceiptFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes requests from links, runs them on the backend server within its slots and sends the answers back. Used by the
 * side's duty only.
 */
final class WorkDesk {

    private static final Logger logger = LoggerFactory.getLogger(WorkDesk.class);

    private static final int MOST_COLLECTED_BYTES = 2 * 1_024 * 1_024;

    private static final String EVENT_STREAM = "text/event-stream";

    private final Clock clock;

    private final Backend backend;

    private final ClaimDesk claims;

    private final AnswerSender answers;

    private final WorkLimits limits;

    private final WorkQueue queue;

    private final ServiceTimes times = new ServiceTimes();

    private final EndedWork endedWork = new EndedWork();

    private final Map<RequestId, Work> open = new HashMap<>();

    private final Map<String, String> incarnationByEntry = new HashMap<>();

    private int slots;

    private int running;

    private boolean draining;

    WorkDesk(Clock clock, Backend backend, ClaimDesk claims, AnswerSender answers, WorkLimits limits) {
        this.clock = Assert.notNull(clock, "clock");
        this.backend = Assert.notNull(backend, "backend");
        this.claims = Assert.notNull(claims, "claims");
        this.answers = Assert.notNull(answers, "answers");
        this.limits = Assert.notNull(limits, "limits");
        this.queue = new WorkQueue(limits.queueLimit(), limits.queueBytes());
        this.slots = limits.slots();
    }

    int queued() {
        return queue.size();
    }

    int running() {
        return running;
    }

    int slots() {
        return slots;
    }

    boolean isIdle() {
        return open.isEmpty();
    }

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Follows the slots that the backend server reports, within the limit. */
    void slotsReported(int reported) {
        slots = Math.max(1, Math.min(limits.slots(), reported));
    }

    void take(WorkFrame frame, Link link) {
        link.send(new ReceiptFrame(frame.id(), frame.attempt()));
        if (endedWork.isLate(frame.id(), frame.attempt()) || isRepeat(frame, link)) {
            return;
        }
        Work work = new Work(frame, link, clock.deadlineNanos(frame.leftMillis()));
        if (draining) {
            answers.refuse(work, Refusal.notRun(RefusalReason.LEAVING, "the backend server is leaving"));
        } else if (!canBeInTime(work)) {
            String detail = "the requests before it take longer than the time left";
            answers.refuse(work, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail));
        } else if (!queue.add(work)) {
            answers.refuse(work, Refusal.notRun(RefusalReason.QUEUE_FULL, "the queue of the runner is full"));
        } else {
            open.put(frame.id(), work);
        }
    }

    /** Estimates only while all slots are taken, so that a wrong estimate is measured anew. */
    private boolean canBeInTime(Work work) {
        if (running < slots) {
            return true;
        }
        long estimateNanos = times.estimateNanos(work.frame().model(), queue.ahead(work) + 1, slots);
        return clock.nowNanos() + estimateNanos - work.deadlineNanos() < 0;
    }

    /** Handles a frame of a request in hand; returns false if the request is to be run. */
    private boolean isRepeat(WorkFrame frame, Link link) {
        Work earlier = open.get(frame.id());
        if (earlier == null) {
            return false;
        }
        boolean late = frame.attempt() < earlier.frame().attempt();
        boolean same = frame.attempt() == earlier.frame().attempt() && link == earlier.link();
        if (late || same) {
            return true;
        }
        if (frame.idempotent()) {
            giveUp(earlier);
            return false;
        }
        logger.info("event=work-attached request={} attempt={}", frame.id(), frame.attempt());
        earlier.attach(frame, link);
        return true;
    }

    /** Gives up the work of a former run of an entry, whose callers are gone. */
    void entryStarted(String entry, String incarnation) {
        String former = incarnationByEntry.put(entry, incarnation);
        if (former == null || former.equals(incarnation)) {
            return;
        }
        List<Work> orphans = new ArrayList<>(open.values());
        orphans.removeIf(work -> !work.frame().id().incarnation().equals(former) || mustFinish(work));
        orphans.forEach(this::giveUp);
        logger.info("event=entry-restarted entry={} given_up={}", entry, orphans.size());
    }

    private static boolean mustFinish(Work work) {
        return work.isDispatched() && !work.frame().idempotent();
    }

    /** Sends waiting work to the backend server while there are slots. */
    void dispatch(Predicate<Work> ready) {
        Set<String> notReady = new HashSet<>();
        while (running < slots) {
            Optional<Work> next = queue.first(work -> isReady(work, ready, notReady));
            if (next.isEmpty()) {
                return;
            }
            start(next.get());
        }
    }

    private static boolean isReady(Work work, Predicate<Work> ready, Set<String> notReady) {
        String needs = work.frame().model() + '\n' + work.frame().adapter();
        if (notReady.contains(needs)) {
            return false;
        }
        boolean isReady = ready.test(work);
        if (!isReady) {
            notReady.add(needs);
        }
        return isReady;
    }

    private void start(Work work) {
        queue.take(work);
        work.dispatchedAt(clock.nowNanos());
        running++;
        if (work.frame().idempotent()) {
            send(work);
        } else if (!claims.claim(work)) {
            end(work);
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
        end(work);
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
        end(work);
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
        work.sent(backend.send(work));
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
            end(work);
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
        end(work);
        if (!work.isWhole() || work.isBroken()) {
            answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "the answer broke off"));
            return;
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
        end(work);
        RefusalReason reason =
                clock.isPast(work.deadlineNanos()) ? RefusalReason.DEADLINE_PASSED : RefusalReason.BACKEND_LOST;
        logger.info("event=work-failed request={} detail={}", work.frame().id(), failure.getMessage());
        if (failure.maybeSent()) {
            answers.refuse(work, Refusal.outcomeUnknown(reason, failure.getMessage()));
            return;
        }
        if (!work.frame().idempotent()) {
            claims.release(work);
        }
        answers.refuse(work, Refusal.notRun(reason, failure.getMessage()));
    }

    void cancel(RequestId id, int attempt) {
        Work work = open.get(id);
        boolean present = work != null && work.frame().attempt() == attempt;
        if (present && !mustFinish(work)) {
            giveUp(work);
        }
    }

    private void giveUp(Work work) {
        queue.remove(work);
        end(work);
        if (work.isSent()) {
            backend.cancel(work);
        }
        answers.cancelled(work);
    }

    private void end(Work work) {
        if (work.isEnded()) {
            return;
        }
        if (work.isDispatched()) {
            running--;
        }
        work.end();
        open.remove(work.frame().id(), work);
        endedWork.add(work.frame().id(), work.frame().attempt());
    }

    void linkClosed(Link link) {
        List<Work> lost = new ArrayList<>(open.values());
        lost.removeIf(work -> work.link() != link || mustFinish(work));
        lost.forEach(this::giveUp);
    }

    /** Refuses work whose deadline passed in the queue, and gives up on a backend server that went silent. */
    void expire() {
        queue.removeIf(work -> clock.isPast(work.deadlineNanos()), work -> {
            end(work);
            String detail = "the deadline passed in the queue";
            answers.refuse(work, Refusal.notRun(RefusalReason.DEADLINE_PASSED, detail));
        });
        List<Work> silent = new ArrayList<>(open.values());
        silent.removeIf(work -> !isSilent(work));
        silent.forEach(this::giveUpSilent);
    }

    private boolean isSilent(Work work) {
        long millis = work.frame().stream() ? limits.streamSilenceMillis() : limits.answerSilenceMillis();
        return work.isSent() && clock.isPast(work.progressedAtNanos() + millis * Clock.NANOS_PER_MILLI);
    }

    private void giveUpSilent(Work work) {
        logger.warn("event=backend-silent request={}", work.frame().id());
        end(work);
        backend.forgetIdleConnections();
        if (work.frame().idempotent()) {
            backend.cancel(work);
        }
        answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "the backend server went silent"));
    }
}
