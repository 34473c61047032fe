package org.arbutusstack.side;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.wire.frame.ReceiptFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Dispatcher that queues the requests that arrive on links and dispatches them to the backend server within its slots.
 * Confined to the side's event loop.
 */
final class WorkDispatcher {

    private static final Logger logger = LoggerFactory.getLogger(WorkDispatcher.class);

    private static final String DUTY = "work";

    private final Clock clock;

    private final BackendClient backend;

    private final WorkRunner runner;

    private final WorkRegistry registry;

    private final SuspectRequestTracker suspects;

    private final AnswerSender answers;

    private final WorkLimits limits;

    private final WorkQueue queue;

    private final HigherPriorityDemand higherPriorityDemand;

    private final Map<String, String> incarnationByEntry = new HashMap<>();

    private int slots;

    private boolean draining;

    WorkDispatcher(
            Clock clock,
            BackendClient backend,
            WorkRunner runner,
            WorkRegistry registry,
            SuspectRequestTracker suspects,
            AnswerSender answers,
            WorkLimits limits) {
        this.clock = Assert.notNull(clock, "clock");
        this.backend = Assert.notNull(backend, "backend");
        this.runner = Assert.notNull(runner, "runner");
        this.registry = Assert.notNull(registry, "registry");
        this.suspects = Assert.notNull(suspects, "suspects");
        this.answers = Assert.notNull(answers, "answers");
        this.limits = Assert.notNull(limits, "limits");
        this.queue = new WorkQueue(limits.queueLimit(), limits.queueBytes());
        this.slots = limits.slots();
        this.higherPriorityDemand = new HigherPriorityDemand(clock);
    }

    int queued() {
        return queue.size();
    }

    long queuedBytes() {
        return queue.bytes();
    }

    int running() {
        return registry.running();
    }

    int slots() {
        return slots;
    }

    boolean isIdle() {
        return registry.isEmpty();
    }

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Set the number of slots to what the backend server reports, between one and the configured limit. */
    void slotsReported(int reported) {
        slots = Math.max(1, Math.min(limits.slots(), reported));
    }

    /** Acknowledge a work frame with a receipt, then queue or refuse its request. */
    void receive(WorkFrame frame, Link link) {
        link.send(new ReceiptFrame(frame.id(), frame.attempt()));
        if (registry.isSuperseded(frame.id(), frame.attempt()) || handleDuplicate(frame, link)) {
            return;
        }
        WorkItem work = new WorkItem(frame, link, clock.deadlineNanos(frame.leftMillis()));
        higherPriorityDemand.recordArrival(frame.priority());
        if (draining) {
            answers.refuse(work, Refusal.notRun(RefusalReason.LEAVING, "the backend server is leaving"));
        } else if (!frame.idempotent() && frame.idempotencyKey().isBlank()) {
            String detail = "a call that may not be repeated needs an idempotency key";
            answers.refuse(work, Refusal.rejected(RefusalReason.MISSING_HEADER, detail));
        } else if (suspects.isRefused(work)) {
            answers.refuse(work, SuspectRequestTracker.QUARANTINED);
        } else if (!canMeetDeadline(work)) {
            String detail = "the requests before it take longer than the time left";
            answers.refuse(work, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail));
        } else if (!queue.add(work)) {
            answers.refuse(work, Refusal.notRun(RefusalReason.QUEUE_FULL, "the queue of the runner is full"));
        } else {
            registry.add(work);
        }
    }

    /**
     * Return whether new work can be answered before its deadline.
     *
     * <p>The estimate applies only while all slots are taken: otherwise the work runs, so that a wrong estimate is
     * corrected by a new measurement.
     */
    private boolean canMeetDeadline(WorkItem work) {
        if (registry.running() < slots) {
            return true;
        }
        long estimateNanos = runner.estimateNanos(work.frame().model(), queue.countAhead(work) + 1, slots);
        return clock.nowNanos() + estimateNanos - work.deadlineNanos() < 0 && !isOvertaken(work, queue.position(work));
    }

    /** Return whether work of higher priority that arrives in the meantime delays the given work past its deadline. */
    private boolean isOvertaken(WorkItem work, int position) {
        long waitNanos = higherPriorityDemand.estimateWaitNanos(
                work.frame().priority(), position, runner.requestsPerSecond(slots));
        if (waitNanos == 0) {
            return false;
        }
        long runNanos = runner.estimateNanos(work.frame().model(), 0, slots);
        return clock.isPast(work.deadlineNanos() - waitNanos - runNanos);
    }

    /**
     * Handle a frame of a request that is in progress: ignore a late or duplicate frame, attach a later attempt to the
     * running one, or abort an idempotent one.
     *
     * @return {@code false} if the frame is to be handled as a new request
     */
    private boolean handleDuplicate(WorkFrame frame, Link link) {
        WorkItem earlier = registry.find(frame.id());
        if (earlier == null) {
            return false;
        }
        boolean late = frame.attempt() < earlier.frame().attempt();
        boolean repeated = frame.attempt() == earlier.frame().attempt() && link == earlier.link();
        if (late || repeated) {
            return true;
        }
        if (frame.idempotent()) {
            abort(earlier);
            return false;
        }
        logger.info("event=work-attached request={} attempt={}", frame.id(), frame.attempt());
        earlier.attach(frame, link);
        return true;
    }

    /**
     * Abort the work of an entry's previous incarnation, whose callers are disconnected. Non-idempotent work that was
     * dispatched runs to completion.
     */
    void entryStarted(String entry, String incarnation) {
        String previous = incarnationByEntry.put(entry, incarnation);
        if (previous == null || previous.equals(incarnation)) {
            return;
        }
        List<WorkItem> orphans = registry.all();
        orphans.removeIf(work -> !work.frame().id().incarnation().equals(previous) || mustRunToCompletion(work));
        IsolatedSteps.forEach(DUTY, orphans, this::abort);
        logger.info("event=entry-restarted entry={} given_up={}", entry, orphans.size());
    }

    private static boolean mustRunToCompletion(WorkItem work) {
        return work.isDispatched() && !work.frame().idempotent();
    }

    /** Dispatch waiting work to the backend server while slots are free. */
    void dispatch(Predicate<WorkItem> ready) {
        Set<String> notReadyNeeds = new HashSet<>();
        while (registry.running() < slots && !registry.hasExclusiveRun()) {
            Optional<WorkItem> next = queue.next(work -> isReady(work, ready, notReadyNeeds));
            if (next.isEmpty() || mustWaitForExclusiveRun(next.get())) {
                return;
            }
            queue.dequeue(next.get());
            higherPriorityDemand.recordStart(next.get().frame().priority());
            start(next.get());
        }
    }

    /** Start work that has left the queue; work that cannot be started is refused, since nothing else would end it. */
    private void start(WorkItem work) {
        if (!IsolatedSteps.run(DUTY, () -> runner.start(work)) && !work.isEnded()) {
            registry.end(work);
            String detail = "the side failed to start the work";
            answers.refuse(work, Refusal.outcomeUnknown(RefusalReason.INTERNAL, detail));
        }
    }

    private boolean mustWaitForExclusiveRun(WorkItem work) {
        return registry.running() > 0 && suspects.isSuspect(work);
    }

    private boolean isReady(WorkItem work, Predicate<WorkItem> ready, Set<String> notReadyNeeds) {
        if (suspects.hasUnexplainedLoss() && !work.frame().model().isEmpty()) {
            return false;
        }
        String needs = work.frame().model() + '\n' + work.frame().adapter();
        if (notReadyNeeds.contains(needs)) {
            return false;
        }
        boolean isReady = ready.test(work);
        if (!isReady) {
            notReadyNeeds.add(needs);
        }
        return isReady;
    }

    /** Refuse all queued engine requests, so that they can run on other runners. */
    void refuseWaitingEngineWork() {
        queue.removeIf(work -> !work.frame().model().isEmpty(), work -> {
            registry.end(work);
            answers.refuse(work, Refusal.notRun(RefusalReason.BACKEND_LOST, "the engine does not answer"));
        });
    }

    /** Cancel an attempt of a request, unless it is non-idempotent and dispatched. */
    void cancel(RequestId id, int attempt) {
        WorkItem work = registry.find(id);
        boolean current = work != null && work.frame().attempt() == attempt;
        if (current && !mustRunToCompletion(work)) {
            abort(work);
        }
    }

    private void abort(WorkItem work) {
        queue.remove(work);
        registry.end(work);
        if (work.isSent()) {
            backend.cancel(work);
        }
        answers.recordCancelled(work);
    }

    /** Abort the work of a closed link, except for dispatched non-idempotent work. */
    void linkClosed(Link link) {
        List<WorkItem> affected = registry.all();
        affected.removeIf(work -> work.link() != link || mustRunToCompletion(work));
        IsolatedSteps.forEach(DUTY, affected, this::abort);
    }

    /**
     * Refuse queued work that will miss its deadline, and abort running work whose backend server stopped responding.
     */
    void expire() {
        queue.removeIfAtPosition(this::willMissDeadline, work -> {
            registry.end(work);
            Refusal refusal = clock.isPast(work.deadlineNanos())
                    ? Refusal.notRun(RefusalReason.DEADLINE_PASSED, "the deadline passed in the queue")
                    : Refusal.notRun(
                            RefusalReason.DEADLINE_UNREACHABLE, "the time left is too short for its wait and its run");
            answers.refuse(work, refusal);
        });
        List<WorkItem> stalled = registry.all();
        stalled.removeIf(work -> !isStalled(work));
        IsolatedSteps.forEach(DUTY, stalled, runner::abortStalled);
    }

    /**
     * Return whether queued work would miss its deadline even if it started now, or is overtaken past its deadline by
     * work of higher priority. While a slot is free, only the deadline itself counts.
     */
    private boolean willMissDeadline(WorkItem work, int position) {
        if (registry.running() < slots) {
            return clock.isPast(work.deadlineNanos());
        }
        long neededNanos = runner.estimateNanos(work.frame().model(), 0, slots);
        return clock.isPast(work.deadlineNanos() - neededNanos) || isOvertaken(work, position);
    }

    private boolean isStalled(WorkItem work) {
        long millis = work.frame().stream() ? limits.streamSilenceMillis() : limits.answerSilenceMillis();
        return work.isSent() && clock.isPast(work.progressedAtNanos() + millis * Clock.NANOS_PER_MILLI);
    }
}
