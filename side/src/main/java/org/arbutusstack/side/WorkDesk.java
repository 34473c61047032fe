package org.arbutusstack.side;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.side.claim.RecordedAnswer;
import org.arbutusstack.wire.frame.AnswerHeadFrame;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.ReceiptFrame;
import org.arbutusstack.wire.frame.RefusalFrame;
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

    private final SideIdentity identity;

    private final Clock clock;

    private final Backend backend;

    private final ClaimDesk claims;

    private final WorkQueue queue;

    private final int slots;

    private final Map<RequestId, Work> open = new HashMap<>();

    private int running;

    private long logSequence;

    private boolean draining;

    WorkDesk(SideIdentity identity, Clock clock, Backend backend, ClaimDesk claims, int queueLimit, int slots) {
        this.identity = Assert.notNull(identity, "identity");
        this.clock = Assert.notNull(clock, "clock");
        this.backend = Assert.notNull(backend, "backend");
        this.claims = Assert.notNull(claims, "claims");
        this.queue = new WorkQueue(queueLimit);
        this.slots = slots;
    }

    int queued() {
        return queue.size();
    }

    int running() {
        return running;
    }

    /** Lists the requests taken and not ended, waiting or running. */
    Collection<Work> openWork() {
        return open.values();
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

    void take(WorkFrame frame, Link link) {
        link.send(new ReceiptFrame(frame.id(), frame.attempt()));
        if (isRepeat(frame, link)) {
            return;
        }
        Work work = new Work(frame, link, clock.deadlineNanos(frame.leftMillis()));
        if (draining) {
            refuse(work, Refusal.notRun(RefusalReason.LEAVING, "the backend server is leaving"));
            return;
        }
        if (!queue.add(work)) {
            refuse(work, Refusal.notRun(RefusalReason.QUEUE_FULL, "the queue of " + identity.name() + " is full"));
            return;
        }
        open.put(frame.id(), work);
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

    /** Sends waiting work to the backend server while there are slots. */
    void dispatch(Predicate<Work> ready) {
        while (running < slots) {
            Optional<Work> next = queue.takeFirst(ready);
            if (next.isEmpty()) {
                return;
            }
            Work work = next.get();
            work.markDispatched();
            running++;
            if (work.frame().idempotent()) {
                send(work);
            } else if (!claims.claim(work)) {
                end(work);
                refuse(work, Refusal.notRun(RefusalReason.CLAIM_UNAVAILABLE, "too many claims wait"));
            }
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
            refuse(work, Refusal.outcomeUnknown(RefusalReason.ALREADY_CLAIMED, taken.detail()));
        } else if (result instanceof ClaimResult.KeyReused) {
            String detail = "the idempotency key was used for a call with other content";
            refuse(work, Refusal.rejected(RefusalReason.IDEMPOTENCY_KEY_REUSED, detail));
        } else if (result instanceof ClaimResult.Unavailable unavailable) {
            refuse(work, Refusal.notRun(RefusalReason.CLAIM_UNAVAILABLE, unavailable.detail()));
        }
    }

    private void sendClaimed(Work work) {
        if (!clock.isPast(work.deadlineNanos())) {
            send(work);
            return;
        }
        end(work);
        claims.release(work);
        refuse(work, Refusal.notRun(RefusalReason.DEADLINE_PASSED, "the claim was recorded after the deadline"));
    }

    private void answerAgain(Work work, RecordedAnswer answer) {
        if (!answer.bodyKept()) {
            String detail = "the call ran and was answered with status " + answer.status()
                    + "; the answer was too large to be kept";
            refuse(work, Refusal.rejected(RefusalReason.ANSWER_NOT_KEPT, detail));
            return;
        }
        work.opened(answer.status(), answer.contentType());
        sendHead(work);
        sendPart(work, answer.body(), answer.body().length, true);
    }

    private void send(Work work) {
        work.sent(backend.send(work));
    }

    void head(Work work, int status, String contentType, long sequence) {
        if (work.isEnded()) {
            return;
        }
        logSequence = sequence;
        work.opened(status, contentType);
        if (!contentType.startsWith(EVENT_STREAM)) {
            work.markWhole();
        }
        if (work.frame().idempotent()) {
            sendHead(work);
        }
    }

    private void sendHead(Work work) {
        WorkFrame frame = work.frame();
        work.link()
                .send(new AnswerHeadFrame(
                        frame.id(),
                        frame.attempt(),
                        work.status(),
                        work.contentType(),
                        identity.name(),
                        work.modelVersion(),
                        logSequence));
    }

    void bytes(Work work, byte[] bytes) {
        if (work.isEnded()) {
            return;
        }
        if (!work.frame().idempotent()) {
            collect(work, bytes);
            return;
        }
        if (!work.frame().stream()) {
            sendPart(work, bytes, bytes.length, false);
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
        sendPart(work, events.whole(), events.count(), false);
    }

    private void collect(Work work, byte[] bytes) {
        work.partial().writeBytes(bytes);
        if (work.partial().size() > MOST_COLLECTED_BYTES) {
            end(work);
            claims.recordOutcome(
                    work, work.status(), work.contentType(), work.partial().toByteArray());
            String detail = "the call ran; its answer of status " + work.status() + " is too large to be given";
            refuse(work, Refusal.rejected(RefusalReason.ANSWER_NOT_KEPT, detail));
        }
    }

    private void sendPart(Work work, byte[] bytes, int units, boolean last) {
        WorkFrame frame = work.frame();
        long offset = work.advance(units);
        boolean sent = work.link().send(new AnswerPartFrame(frame.id(), frame.attempt(), offset, units, bytes, last));
        if (!sent && work.link().isOpen()) {
            work.link().close();
        }
    }

    void backendEnded(Work work) {
        if (work.isEnded()) {
            return;
        }
        end(work);
        if (work.isWhole() && !work.isBroken()) {
            finish(work);
            return;
        }
        refuse(work, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "the answer broke off"));
    }

    private void finish(Work work) {
        byte[] rest = work.partial().toByteArray();
        if (work.frame().idempotent()) {
            sendPart(work, rest, 0, true);
            return;
        }
        claims.recordOutcome(work, work.status(), work.contentType(), rest);
        sendHead(work);
        sendPart(work, rest, rest.length, true);
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
            refuse(work, Refusal.outcomeUnknown(reason, failure.getMessage()));
            return;
        }
        if (!work.frame().idempotent()) {
            claims.release(work);
        }
        refuse(work, Refusal.notRun(reason, failure.getMessage()));
    }

    void cancel(RequestId id, int attempt) {
        Work work = open.get(id);
        boolean present = work != null && work.frame().attempt() == attempt;
        if (present && (work.frame().idempotent() || !work.isDispatched())) {
            giveUp(work);
        }
    }

    private void giveUp(Work work) {
        queue.remove(work);
        if (work.isSent()) {
            backend.cancel(work);
        }
        end(work);
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
    }

    void linkClosed(Link link) {
        List<Work> lost = new ArrayList<>(open.values());
        lost.removeIf(work ->
                work.link() != link || work.isDispatched() && !work.frame().idempotent());
        lost.forEach(this::giveUp);
    }

    void expire() {
        queue.removeIf(work -> clock.isPast(work.deadlineNanos()), work -> {
            work.end();
            open.remove(work.frame().id(), work);
            refuse(work, Refusal.notRun(RefusalReason.DEADLINE_PASSED, "the deadline passed in the queue"));
        });
    }

    private void refuse(Work work, Refusal refusal) {
        work.link().send(new RefusalFrame(work.frame().id(), work.frame().attempt(), refusal));
    }
}
