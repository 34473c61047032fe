package org.arbutusstack.entry.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.routing.RetryBudget;
import org.arbutusstack.routing.RunnerSelector;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.wire.frame.AnswerHeadFrame;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.CancelFrame;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the requests in hand, sends them to sides, tries again where that is safe, and answers each caller once.
 *
 * <p>What a refused caller is told follows from the facts of all attempts: one that was never sent, or that the side
 * refused before it sent it, did not run; one that was sent and lost may have run, whatever later attempts say. A
 * request that is not idempotent is sent again after a lost link only because the side's durable claim recognises the
 * repeat. Used by the router's duty only.
 */
final class RequestTable {

    private static final Logger logger = LoggerFactory.getLogger(RequestTable.class);

    private static final long RETRY_MILLIS = 50;

    private static final long RETURN_MILLIS = 1_500;

    private static final long LONGEST_MARGIN_MILLIS = 100;

    private static final int MARGIN_DIVISOR = 10;

    private static final int NOT_FOUND = 404;

    private static final int SERVER_ERRORS = 500;

    private static final int OK = 200;

    private final SideDirectory sides;

    private final AttemptRouter choice;

    private final Clock clock;

    private final RouterLimits limits;

    private final RouterMetrics metrics;

    private final RequestOutcomeRecorder outcomes;

    private final RetryBudget retries;

    private final Quarantine quarantine;

    private final Map<RequestId, PendingRequest> pending = new HashMap<>();

    private long bufferedBytes;

    RequestTable(
            SideDirectory sides,
            RunnerSelector selector,
            Clock clock,
            RouterLimits limits,
            RouterMetrics metrics,
            RequestOutcomeRecorder outcomes) {
        this.sides = sides;
        this.clock = clock;
        this.limits = limits;
        this.metrics = metrics;
        this.outcomes = outcomes;
        this.retries = new RetryBudget(limits.retryPercent(), limits.retryReserve());
        this.quarantine = new Quarantine(clock);
        this.choice = new AttemptRouter(sides, selector, quarantine, clock);
    }

    /** Learns of a request that was in flight when an engine was lost. */
    void told(StrikeFrame frame) {
        quarantine.told(frame);
    }

    boolean isSent(RequestId id) {
        PendingRequest entry = pending.get(id);
        return entry != null && entry.side() != null;
    }

    int size() {
        return pending.size();
    }

    void arrived(CallerRequest request) {
        retries.requestArrived();
        PendingRequest entry = new PendingRequest(request, clock.nowNanos());
        if (pending.size() >= limits.mostRequests(request.priority())) {
            refuse(entry, Refusal.notRun(RefusalReason.QUEUE_FULL, "this entry has too many requests in hand"));
            return;
        }
        Optional<Refusal> quarantined = quarantine.refusalOf(request);
        if (quarantined.isPresent()) {
            refuse(entry, quarantined.get());
            return;
        }
        pending.put(request.id(), entry);
        route(entry);
        if (isWaiting(entry) && waitingLike(request) > limits.mostWaiting()) {
            refuse(entry, Refusal.notRun(RefusalReason.NO_RUNNER, "too many requests wait for a runner of this model"));
        }
    }

    private boolean isWaiting(PendingRequest entry) {
        return entry.side() == null && pending.containsKey(entry.request().id());
    }

    private long waitingLike(CallerRequest request) {
        return pending.values().stream()
                .filter(entry -> entry.side() == null
                        && entry.request()
                                .routing()
                                .modelKey()
                                .equals(request.routing().modelKey()))
                .count();
    }

    private void route(PendingRequest entry) {
        CallerRequest request = entry.request();
        long lateMillis = choice.lateMillis(request);
        if (lateMillis > 0) {
            String detail = "no runner of the model could answer in time";
            refuse(entry, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail, Duration.ofMillis(lateMillis)));
            return;
        }
        Optional<RunnerView> chosen = choice.choose(entry);
        if (chosen.isEmpty()) {
            return;
        }
        SideConnection side = sides.byName(chosen.get().name());
        quarantine.warn(side.link(), request);
        entry.begin(side, clock.deadlineNanos(limits.receiptMillis()));
        if (side.link().send(frameOf(entry))) {
            entry.sent();
            logger.debug("event=sent request={} attempt={}", request.id(), entry.attempt());
        } else {
            entry.neverSent();
        }
    }

    private WorkFrame frameOf(PendingRequest entry) {
        CallerRequest request = entry.request();
        return new WorkFrame(
                request.id(),
                entry.attempt(),
                millisForSide(request),
                request.priority(),
                request.routing().service(),
                request.model(),
                request.adapter(),
                request.idempotent(),
                request.idempotencyKey(),
                request.method(),
                request.path(),
                request.stream(),
                request.stream() ? entry.delivered() : 0,
                request.body());
    }

    /** Leaves the side less time than there is, so that its refusal of a request it never ran arrives in time. */
    private long millisForSide(CallerRequest request) {
        long leftMillis = clock.millisUntil(request.deadlineNanos());
        return leftMillis - Math.min(LONGEST_MARGIN_MILLIS, leftMillis / MARGIN_DIVISOR);
    }

    /** Finds the request of an answer's frame, or returns null if the frame belongs to an old attempt. */
    private PendingRequest current(RequestId id, int attempt, SideConnection side) {
        PendingRequest entry = pending.get(id);
        return entry != null && entry.attempt() == attempt && entry.side() == side ? entry : null;
    }

    void receipt(RequestId id, int attempt, SideConnection side) {
        PendingRequest entry = current(id, attempt, side);
        if (entry != null) {
            entry.receipt();
        }
    }

    void head(AnswerHeadFrame frame, SideConnection side) {
        PendingRequest entry = current(frame.id(), frame.attempt(), side);
        if (entry == null) {
            return;
        }
        entry.head(frame);
        boolean continuesStream = !entry.isStreamOpened() || frame.status() == OK && entry.isContinued();
        if (!entry.request().model().isEmpty() && frame.status() == NOT_FOUND) {
            abandon(entry, Refusal.notRun(RefusalReason.BACKEND_ERROR, "the runner does not hold the model"));
        } else if (!entry.request().model().isEmpty() && frame.status() >= SERVER_ERRORS || !continuesStream) {
            String detail = "the runner answered with status " + frame.status();
            abandon(entry, Refusal.outcomeUnknown(RefusalReason.BACKEND_ERROR, detail));
        }
    }

    /** Gives up an attempt that the side still works on. */
    private void abandon(PendingRequest entry, Refusal refusal) {
        cancelAtSide(entry);
        failed(entry, refusal, false);
    }

    void part(AnswerPartFrame frame, SideConnection side) {
        PendingRequest entry = current(frame.id(), frame.attempt(), side);
        boolean old = entry != null && frame.offset() + frame.units() <= entry.delivered() && frame.units() > 0;
        if (entry == null || old) {
            return;
        }
        if (entry.head() == null || frame.offset() != entry.delivered()) {
            abandon(entry, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "a part of the answer was lost"));
            return;
        }
        entry.deliver(frame.units());
        if (entry.isEventStream()) {
            EventStreamWriter.deliver(entry, frame);
        } else if (!buffer(entry, frame.bytes())) {
            return;
        }
        if (frame.last() || EventStreamWriter.ends(entry, frame.bytes())) {
            finish(entry);
        }
    }

    private boolean buffer(PendingRequest entry, byte[] bytes) {
        boolean tooLong = entry.body().size() + bytes.length > limits.longestAnswerBytes()
                || bufferedBytes + bytes.length > limits.mostBufferedBytes();
        if (tooLong) {
            cancelAtSide(entry);
            refuse(entry, Refusal.outcomeUnknown(RefusalReason.ANSWER_TOO_LARGE, "the answer is too long to hold"));
            return false;
        }
        bufferedBytes += bytes.length;
        entry.body().writeBytes(bytes);
        return true;
    }

    private void finish(PendingRequest entry) {
        CallerRequest request = entry.request();
        if (!entry.isEventStream()) {
            CallerResponses.open(request, entry.head());
            request.response().write(entry.body().toByteArray());
        }
        request.response().end();
        outcomes.answered(entry);
        remove(entry, true);
    }

    private void remove(PendingRequest entry, boolean answered) {
        pending.remove(entry.request().id());
        release(entry, answered);
        entry.neverSent();
    }

    /** Frees what an attempt holds. */
    private void release(PendingRequest entry, boolean answered) {
        bufferedBytes -= entry.body().size();
        entry.body().reset();
        if (entry.side() != null) {
            entry.side().load().ended(entry.request().priority(), answered);
        }
    }

    void refused(RefusalFrame frame, SideConnection side) {
        PendingRequest entry = current(frame.id(), frame.attempt(), side);
        if (entry != null) {
            failed(entry, frame.refusal(), false);
        }
    }

    private void failed(PendingRequest entry, Refusal refusal, boolean linkLost) {
        release(entry, false);
        if (linkLost && !entry.request().idempotent()) {
            entry.returnToSide(refusal, clock.deadlineNanos(RETURN_MILLIS));
        } else {
            entry.end(refusal, clock.deadlineNanos(RETRY_MILLIS << entry.failures()));
        }
        Optional<Refusal> quarantined = quarantine.refusalOf(entry.request());
        if (quarantined.isPresent()) {
            refuse(entry, quarantined.get());
            return;
        }
        if (!mayTryAgain(entry, refusal, linkLost)) {
            refuse(entry, refusal);
            return;
        }
        logger.debug("event=retry request={} reason={}", entry.request().id(), refusal.reason());
        metrics.retried(refusal.reason());
        route(entry);
    }

    private boolean mayTryAgain(PendingRequest entry, Refusal refusal, boolean linkLost) {
        boolean safe = refusal.kind().mayRepeat(entry.request().idempotent()) || linkLost;
        boolean inTime = refusal.reason() != RefusalReason.DEADLINE_PASSED
                && !clock.isPast(entry.request().deadlineNanos());
        if (!safe || !inTime || entry.failures() >= limits.mostAttempts()) {
            return false;
        }
        if (refusal.reason() == RefusalReason.LEAVING || retries.tryAcquire()) {
            return true;
        }
        metrics.retryDenied();
        return false;
    }

    private void refuse(PendingRequest entry, Refusal refusal) {
        CallerRequest request = entry.request();
        Refusal truth = refusal.afterAttempts(entry.maybeRan());
        remove(entry, false);
        outcomes.refused(entry, truth);
        logger.info("event=refused request={} kind={} reason={}", request.id(), truth.kind(), truth.reason());
        if (entry.isStreamOpened()) {
            CallerResponses.breakOff(request, truth);
        } else {
            CallerResponses.refuse(request.response(), request.id().toString(), truth);
        }
    }

    void sideLost(SideConnection side) {
        for (PendingRequest entry : new ArrayList<>(pending.values())) {
            if (entry.side() == side) {
                String detail = "the link to the runner was lost";
                failed(entry, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, detail), true);
            }
        }
    }

    void callerGone(RequestId id) {
        PendingRequest entry = pending.get(id);
        if (entry == null) {
            return;
        }
        outcomes.cancelled(entry);
        cancelAtSide(entry);
        remove(entry, false);
    }

    /** Tells the side that nobody waits; a call that is not idempotent goes on, so that its outcome is recorded. */
    private static void cancelAtSide(PendingRequest entry) {
        if (entry.side() != null && entry.side().isOpen() && entry.request().idempotent()) {
            entry.side().link().send(new CancelFrame(entry.request().id(), entry.attempt()));
        }
    }

    void tick() {
        metrics.inHand(pending.size());
        List<PendingRequest> waiting = new ArrayList<>();
        for (PendingRequest entry : new ArrayList<>(pending.values())) {
            CallerRequest request = entry.request();
            if (request.response().isClosed()) {
                callerGone(request.id());
            } else if (clock.isPast(request.deadlineNanos())) {
                expire(entry);
            } else if (entry.side() == null) {
                waiting.add(entry);
            } else if (entry.lacksReceipt() && clock.isPast(entry.receiptDueNanos())) {
                sides.giveUp(entry.side(), "no-receipt");
            }
        }
        waiting.sort(Comparator.<PendingRequest>comparingInt(
                        entry -> entry.request().priority().urgency())
                .thenComparingLong(entry -> entry.request().deadlineNanos() - clock.nowNanos()));
        waiting.forEach(this::route);
    }

    private void expire(PendingRequest entry) {
        boolean sent = entry.side() != null;
        cancelAtSide(entry);
        if (sent || entry.maybeRan()) {
            refuse(
                    entry,
                    Refusal.outcomeUnknown(RefusalReason.DEADLINE_PASSED, "the deadline passed before the answer"));
            return;
        }
        Refusal last = entry.lastRefusal();
        RefusalReason reason = last == null ? RefusalReason.NO_RUNNER : last.reason();
        refuse(entry, Refusal.notRun(reason, "no runner that holds the model could take the request in time"));
    }
}
