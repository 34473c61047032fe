package org.arbutusstack.entry.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.ring.IsolatedSteps;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The requests in flight: sends them to sides, retries where that is safe, and responds to each caller exactly once.
 *
 * <p>The refusal that a caller gets depends on all attempts. A request that was never sent, or that the side refused
 * before sending it to the backend server, did not run; one that was sent and lost may have run, whatever later
 * attempts report. A request that is not idempotent is sent again after a lost link only because the durable claim of
 * the side detects the duplicate. Not thread-safe: confined to the router's event loop.
 */
final class RequestTable {

    private static final Logger logger = LoggerFactory.getLogger(RequestTable.class);

    private static final long RETRY_BACKOFF_MILLIS = 50;

    private static final long SAME_SIDE_RETRY_MILLIS = 1_500;

    private static final String DUTY = "requests";

    private static final int NOT_FOUND = 404;

    private static final int MIN_SERVER_ERROR = 500;

    private static final int OK = 200;

    private final SideDirectory sides;

    private final AttemptRouter attemptRouter;

    private final Clock clock;

    private final RouterLimits limits;

    private final RouterMetrics metrics;

    private final RequestOutcomeRecorder outcomes;

    private final RetryBudget retryBudget;

    private final Quarantine quarantine;

    private final WorkFrameFactory workFrames;

    private final Map<RequestId, PendingRequest> requests = new HashMap<>();

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
        this.retryBudget = new RetryBudget(limits.retryPercent(), limits.retryReserve());
        this.quarantine = new Quarantine(clock, sides::broadcast);
        this.workFrames = new WorkFrameFactory(clock);
        this.attemptRouter = new AttemptRouter(sides, selector, quarantine, clock);
    }

    /** Apply a strike report about a request that was in flight when an engine was lost. */
    void strikeReceived(StrikeFrame frame) {
        quarantine.strikeReceived(frame);
    }

    boolean isSent(RequestId id) {
        PendingRequest pending = requests.get(id);
        return pending != null && pending.side() != null;
    }

    int size() {
        return requests.size();
    }

    void accept(CallerRequest request) {
        retryBudget.requestArrived();
        PendingRequest pending = new PendingRequest(request, clock.nowNanos());
        if (requests.size() >= limits.maxRequests(request.priority())) {
            refuse(pending, Refusal.notRun(RefusalReason.QUEUE_FULL, "this entry has too many requests in hand"));
            return;
        }
        Optional<Refusal> quarantined = quarantine.refusalOf(request);
        if (quarantined.isPresent()) {
            refuse(pending, quarantined.get());
            return;
        }
        requests.put(request.id(), pending);
        route(pending);
        if (isWaiting(pending) && countWaitingForModel(request) > limits.maxWaiting()) {
            refuse(
                    pending,
                    Refusal.notRun(RefusalReason.NO_RUNNER, "too many requests wait for a runner of this model"));
        }
    }

    private boolean isWaiting(PendingRequest pending) {
        return pending.side() == null && requests.containsKey(pending.request().id());
    }

    private long countWaitingForModel(CallerRequest request) {
        return requests.values().stream()
                .filter(pending -> pending.side() == null
                        && pending.request()
                                .routing()
                                .modelKey()
                                .equals(request.routing().modelKey()))
                .count();
    }

    private void route(PendingRequest pending) {
        CallerRequest request = pending.request();
        long lateMillis = attemptRouter.estimatedLatenessMillis(request);
        if (lateMillis > 0) {
            String detail = "no runner of the model could answer in time";
            refuse(pending, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail, Duration.ofMillis(lateMillis)));
            return;
        }
        Optional<RunnerView> chosen = attemptRouter.choose(pending);
        if (chosen.isEmpty()) {
            return;
        }
        SideConnection side = sides.byName(chosen.get().name());
        quarantine.sendStrikes(side.link(), request);
        pending.beginAttempt(side, clock.deadlineNanos(limits.receiptTimeoutMillis()));
        if (side.link().send(workFrames.frameOf(pending))) {
            pending.attemptSent();
            logger.debug("event=sent request={} attempt={}", request.id(), pending.attempt());
        } else {
            pending.detachSide();
        }
    }

    /** Return the request of an answer frame, or {@code null} if the frame belongs to an earlier attempt. */
    private PendingRequest currentAttempt(RequestId id, int attempt, SideConnection side) {
        PendingRequest pending = requests.get(id);
        return pending != null && pending.attempt() == attempt && pending.side() == side ? pending : null;
    }

    void receiptReceived(RequestId id, int attempt, SideConnection side) {
        PendingRequest pending = currentAttempt(id, attempt, side);
        if (pending != null) {
            pending.receiptReceived();
        }
    }

    void headReceived(AnswerHeadFrame frame, SideConnection side) {
        PendingRequest pending = currentAttempt(frame.id(), frame.attempt(), side);
        if (pending == null) {
            return;
        }
        pending.headReceived(frame);
        boolean continuesStream = !pending.isStreamOpened() || frame.status() == OK && pending.continuesOpenedStream();
        if (!pending.request().model().isEmpty() && frame.status() == NOT_FOUND) {
            abandon(pending, Refusal.notRun(RefusalReason.BACKEND_ERROR, "the runner does not hold the model"));
        } else if (!pending.request().model().isEmpty() && frame.status() >= MIN_SERVER_ERROR || !continuesStream) {
            String detail = "the runner answered with status " + frame.status();
            abandon(pending, Refusal.outcomeUnknown(RefusalReason.BACKEND_ERROR, detail));
        }
    }

    /** Cancel an attempt that the side is still working on, and treat it as failed. */
    private void abandon(PendingRequest pending, Refusal refusal) {
        cancelAtSide(pending);
        attemptFailed(pending, refusal, false);
    }

    void partReceived(AnswerPartFrame frame, SideConnection side) {
        PendingRequest pending = currentAttempt(frame.id(), frame.attempt(), side);
        boolean stale = pending != null && frame.offset() + frame.units() <= pending.delivered() && frame.units() > 0;
        if (pending == null || stale) {
            return;
        }
        if (pending.head() == null || frame.offset() != pending.delivered()) {
            abandon(pending, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "a part of the answer was lost"));
            return;
        }
        quarantine.partReceived(pending, frame);
        pending.addDelivered(frame.units());
        if (pending.isEventStream()) {
            EventStreamWriter.write(pending, frame);
        } else if (!buffer(pending, frame.bytes())) {
            return;
        }
        if (frame.last() || EventStreamWriter.endsWithTerminalEvent(pending, frame.bytes())) {
            finish(pending);
        }
    }

    private boolean buffer(PendingRequest pending, byte[] bytes) {
        boolean tooLarge = pending.body().size() + bytes.length > limits.maxAnswerBytes()
                || bufferedBytes + bytes.length > limits.maxBufferedBytes();
        if (tooLarge) {
            cancelAtSide(pending);
            refuse(pending, Refusal.outcomeUnknown(RefusalReason.ANSWER_TOO_LARGE, "the answer is too long to hold"));
            return false;
        }
        bufferedBytes += bytes.length;
        pending.body().writeBytes(bytes);
        return true;
    }

    private void finish(PendingRequest pending) {
        CallerRequest request = pending.request();
        respond(request, () -> {
            if (!pending.isEventStream()) {
                CallerResponses.sendHead(request, pending.head());
                request.response().write(pending.body().toByteArray());
            }
            request.response().end();
        });
        outcomes.answered(pending);
        remove(pending, true);
    }

    private void remove(PendingRequest pending, boolean answered) {
        requests.remove(pending.request().id());
        release(pending, answered);
        pending.detachSide();
    }

    /** Release the buffer and the load accounting of the current attempt. */
    private void release(PendingRequest pending, boolean answered) {
        bufferedBytes -= pending.body().size();
        pending.body().reset();
        if (pending.side() != null) {
            pending.side().load().ended(pending.request().priority(), answered);
        }
    }

    void refusalReceived(RefusalFrame frame, SideConnection side) {
        PendingRequest pending = currentAttempt(frame.id(), frame.attempt(), side);
        if (pending != null) {
            attemptFailed(pending, frame.refusal(), false);
        }
    }

    private void attemptFailed(PendingRequest pending, Refusal refusal, boolean linkLost) {
        release(pending, false);
        if (linkLost && !pending.request().idempotent()) {
            pending.endAndPreferSide(refusal, clock.deadlineNanos(SAME_SIDE_RETRY_MILLIS));
        } else {
            pending.endAttempt(refusal, clock.deadlineNanos(RETRY_BACKOFF_MILLIS << pending.failures()));
        }
        Optional<Refusal> quarantined = quarantine.refusalOf(pending.request());
        if (quarantined.isPresent()) {
            refuse(pending, quarantined.get());
            return;
        }
        if (!mayRetry(pending, refusal, linkLost)) {
            refuse(pending, refusal);
            return;
        }
        logger.debug("event=retry request={} reason={}", pending.request().id(), refusal.reason());
        metrics.retried(refusal.reason());
        route(pending);
    }

    private boolean mayRetry(PendingRequest pending, Refusal refusal, boolean linkLost) {
        boolean safe = refusal.kind().mayRepeat(pending.request().idempotent()) || linkLost;
        boolean beforeDeadline = refusal.reason() != RefusalReason.DEADLINE_PASSED
                && !clock.isPast(pending.request().deadlineNanos());
        if (!safe || !beforeDeadline || pending.failures() >= limits.maxAttempts()) {
            return false;
        }
        if (refusal.reason() == RefusalReason.LEAVING || retryBudget.tryAcquire()) {
            return true;
        }
        metrics.retryDenied();
        return false;
    }

    private void refuse(PendingRequest pending, Refusal refusal) {
        CallerRequest request = pending.request();
        Refusal reported = refusal.afterAttempts(pending.mayHaveRun());
        remove(pending, false);
        outcomes.refused(pending, reported);
        logger.info("event=refused request={} kind={} reason={}", request.id(), reported.kind(), reported.reason());
        respond(request, () -> {
            if (pending.isStreamOpened()) {
                CallerResponses.endWithError(request, reported);
            } else {
                CallerResponses.refuse(request.response(), request.id().toString(), reported);
            }
        });
    }

    /** Write the end of a response, or close the caller's connection if it cannot be written. */
    private static void respond(CallerRequest request, Runnable writes) {
        if (!IsolatedSteps.run(DUTY, writes)) {
            request.response().abort();
        }
    }

    void sideDisconnected(SideConnection side) {
        IsolatedSteps.forEach(DUTY, requests.values(), pending -> {
            if (pending.side() == side) {
                String detail = "the link to the runner was lost";
                attemptFailed(pending, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, detail), true);
            }
        });
    }

    void callerDisconnected(RequestId id) {
        PendingRequest pending = requests.get(id);
        if (pending == null) {
            return;
        }
        outcomes.cancelled(pending);
        cancelAtSide(pending);
        remove(pending, false);
    }

    /** Cancel the attempt at its side; a non-idempotent call continues, so that its outcome is recorded. */
    private static void cancelAtSide(PendingRequest pending) {
        if (pending.side() != null
                && pending.side().isOpen()
                && pending.request().idempotent()) {
            pending.side().link().send(new CancelFrame(pending.request().id(), pending.attempt()));
        }
    }

    void tick() {
        metrics.inFlight(requests.size());
        List<PendingRequest> waiting = new ArrayList<>();
        IsolatedSteps.forEach(DUTY, requests.values(), pending -> {
            CallerRequest request = pending.request();
            if (request.response().isClosed()) {
                callerDisconnected(request.id());
            } else if (clock.isPast(request.deadlineNanos())) {
                expire(pending);
            } else if (pending.side() == null) {
                waiting.add(pending);
            } else if (pending.awaitsReceipt() && clock.isPast(pending.receiptDueNanos())) {
                sides.giveUp(pending.side(), "no-receipt");
            }
        });
        waiting.sort(Comparator.<PendingRequest>comparingInt(
                        pending -> pending.request().priority().urgency())
                .thenComparingLong(pending -> pending.request().deadlineNanos() - clock.nowNanos()));
        IsolatedSteps.forEach(DUTY, waiting, this::route);
    }

    private void expire(PendingRequest pending) {
        boolean sent = pending.side() != null;
        cancelAtSide(pending);
        if (sent || pending.mayHaveRun()) {
            refuse(
                    pending,
                    Refusal.outcomeUnknown(RefusalReason.DEADLINE_PASSED, "the deadline passed before the answer"));
            return;
        }
        Refusal last = pending.lastRefusal();
        RefusalReason reason = last == null ? RefusalReason.NO_RUNNER : last.reason();
        refuse(pending, Refusal.notRun(reason, "no runner that holds the model could take the request in time"));
    }
}
