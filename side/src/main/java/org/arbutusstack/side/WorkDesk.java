package org.arbutusstack.side;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.arbutusstack.kernel.Assert;
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
 * Takes requests from links, runs them on the backend server within its slots and sends the answers back. Used by the
 * side's duty only.
 */
final class WorkDesk {

    private static final Logger logger = LoggerFactory.getLogger(WorkDesk.class);

    private final Clock clock;

    private final Backend backend;

    private final WorkRunner runner;

    private final OpenWork open;

    private final SuspectDesk suspects;

    private final AnswerSender answers;

    private final WorkLimits limits;

    private final WorkQueue queue;

    private final UrgentDemand urgentDemand;

    private final Map<String, String> incarnationByEntry = new HashMap<>();

    private int slots;

    private boolean draining;

    WorkDesk(
            Clock clock,
            Backend backend,
            WorkRunner runner,
            OpenWork open,
            SuspectDesk suspects,
            AnswerSender answers,
            WorkLimits limits) {
        this.clock = Assert.notNull(clock, "clock");
        this.backend = Assert.notNull(backend, "backend");
        this.runner = Assert.notNull(runner, "runner");
        this.open = Assert.notNull(open, "open");
        this.suspects = Assert.notNull(suspects, "suspects");
        this.answers = Assert.notNull(answers, "answers");
        this.limits = Assert.notNull(limits, "limits");
        this.queue = new WorkQueue(limits.queueLimit(), limits.queueBytes());
        this.slots = limits.slots();
        this.urgentDemand = new UrgentDemand(clock);
    }

    int queued() {
        return queue.size();
    }

    long queuedBytes() {
        return queue.bytes();
    }

    int running() {
        return open.running();
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
        if (open.isLate(frame.id(), frame.attempt()) || isRepeat(frame, link)) {
            return;
        }
        Work work = new Work(frame, link, clock.deadlineNanos(frame.leftMillis()));
        urgentDemand.arrived(frame.priority());
        if (draining) {
            answers.refuse(work, Refusal.notRun(RefusalReason.LEAVING, "the backend server is leaving"));
        } else if (!frame.idempotent() && frame.idempotencyKey().isBlank()) {
            String detail = "a call that may not be repeated needs an idempotency key";
            answers.refuse(work, Refusal.rejected(RefusalReason.MISSING_HEADER, detail));
        } else if (suspects.isRefused(work)) {
            answers.refuse(work, SuspectDesk.QUARANTINED);
        } else if (!canBeInTime(work)) {
            String detail = "the requests before it take longer than the time left";
            answers.refuse(work, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail));
        } else if (!queue.add(work)) {
            answers.refuse(work, Refusal.notRun(RefusalReason.QUEUE_FULL, "the queue of the runner is full"));
        } else {
            open.add(work);
        }
    }

    /** Estimates only while all slots are taken, so that a wrong estimate is measured anew. */
    private boolean canBeInTime(Work work) {
        if (open.running() < slots) {
            return true;
        }
        long estimateNanos = runner.estimateNanos(work.frame().model(), queue.ahead(work) + 1, slots);
        return clock.nowNanos() + estimateNanos - work.deadlineNanos() < 0 && !isOvertaken(work, queue.place(work));
    }

    /** Tells whether more urgent work that arrives meanwhile leaves no turn to waiting work in time. */
    private boolean isOvertaken(Work work, int place) {
        long waitNanos = urgentDemand.waitNanos(work.frame().priority(), place, runner.runsPerSecond(slots));
        if (waitNanos == 0) {
            return false;
        }
        long runNanos = runner.estimateNanos(work.frame().model(), 0, slots);
        return clock.isPast(work.deadlineNanos() - waitNanos - runNanos);
    }

    /** Handles a frame of a request in hand; returns false if the request is to be run. */
    private boolean isRepeat(WorkFrame frame, Link link) {
        Work earlier = open.find(frame.id());
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
        List<Work> orphans = open.all();
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
        while (open.running() < slots && !open.runsAlone()) {
            Optional<Work> next = queue.first(work -> isReady(work, ready, notReady));
            if (next.isEmpty() || mustWaitToRunAlone(next.get())) {
                return;
            }
            queue.take(next.get());
            urgentDemand.begun(next.get().frame().priority());
            runner.start(next.get());
        }
    }

    private boolean mustWaitToRunAlone(Work work) {
        return open.running() > 0 && suspects.isSuspect(work);
    }

    private boolean isReady(Work work, Predicate<Work> ready, Set<String> notReady) {
        if (suspects.isUncertain() && !work.frame().model().isEmpty()) {
            return false;
        }
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

    /** Refuses the requests for an engine that wait, so that other runners can take them. */
    void engineAway() {
        queue.removeIf(work -> !work.frame().model().isEmpty(), work -> {
            open.end(work);
            answers.refuse(work, Refusal.notRun(RefusalReason.BACKEND_LOST, "the engine does not answer"));
        });
    }

    void cancel(RequestId id, int attempt) {
        Work work = open.find(id);
        boolean present = work != null && work.frame().attempt() == attempt;
        if (present && !mustFinish(work)) {
            giveUp(work);
        }
    }

    private void giveUp(Work work) {
        queue.remove(work);
        open.end(work);
        if (work.isSent()) {
            backend.cancel(work);
        }
        answers.cancelled(work);
    }

    void linkClosed(Link link) {
        List<Work> lost = open.all();
        lost.removeIf(work -> work.link() != link || mustFinish(work));
        lost.forEach(this::giveUp);
    }

    /** Refuses work that has no turn before its deadline, and gives up on a backend server that went silent. */
    void expire() {
        queue.removeIfPlaced(this::isTooLate, work -> {
            open.end(work);
            Refusal refusal = clock.isPast(work.deadlineNanos())
                    ? Refusal.notRun(RefusalReason.DEADLINE_PASSED, "the deadline passed in the queue")
                    : Refusal.notRun(
                            RefusalReason.DEADLINE_UNREACHABLE, "the time left is too short for its wait and its run");
            answers.refuse(work, refusal);
        });
        List<Work> silent = open.all();
        silent.removeIf(work -> !isSilent(work));
        silent.forEach(runner::giveUpSilent);
    }

    /**
     * Tells whether waiting work would not be done in time though it began now, or is overtaken for too long; known
     * while all slots are taken.
     */
    private boolean isTooLate(Work work, int place) {
        if (open.running() < slots) {
            return clock.isPast(work.deadlineNanos());
        }
        long neededNanos = runner.estimateNanos(work.frame().model(), 0, slots);
        return clock.isPast(work.deadlineNanos() - neededNanos) || isOvertaken(work, place);
    }

    private boolean isSilent(Work work) {
        long millis = work.frame().stream() ? limits.streamSilenceMillis() : limits.answerSilenceMillis();
        return work.isSent() && clock.isPast(work.progressedAtNanos() + millis * Clock.NANOS_PER_MILLI);
    }
}
