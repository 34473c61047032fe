package org.arbutusstack.entry.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.ClaimKey;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.routing.ClaimOwnerSelector;
import org.arbutusstack.routing.RunnerSelector;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.wire.frame.AnswerHeadFrame;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.CancelFrame;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the requests in hand, sends them to sides, tries again where that is safe, and answers each caller once.
 *
 * <p>Used by the router's duty only.
 */
final class RequestTable {

    private static final Logger logger = LoggerFactory.getLogger(RequestTable.class);

    private static final int MOST_ATTEMPTS = 4;

    private static final long RECEIPT_MILLIS = 1_000;

    private final SideDirectory sides;

    private final RunnerSelector selector;

    private final ClaimOwnerSelector claimOwners = new ClaimOwnerSelector();

    private final Clock clock;

    private final int limit;

    private final Map<RequestId, Pending> pending = new HashMap<>();

    RequestTable(SideDirectory sides, RunnerSelector selector, Clock clock, int limit) {
        this.sides = sides;
        this.selector = selector;
        this.clock = clock;
        this.limit = limit;
    }

    int size() {
        return pending.size();
    }

    void arrived(CallerRequest request) {
        if (pending.size() >= limit) {
            Refusal refusal = Refusal.notRun(RefusalReason.QUEUE_FULL, "this entry has too many requests in hand");
            Answers.refuse(request.response(), request.id().toString(), refusal);
            return;
        }
        Pending entry = new Pending(request);
        pending.put(request.id(), entry);
        route(entry);
    }

    private void route(Pending entry) {
        CallerRequest request = entry.request();
        Optional<RunnerView> chosen = choose(entry);
        if (chosen.isEmpty()) {
            return;
        }
        SideConnection side = sides.byName(chosen.get().name());
        entry.assign(side, clock.deadlineNanos(RECEIPT_MILLIS));
        if (side.link().send(frameOf(entry))) {
            side.sent();
        } else {
            entry.unassign();
        }
    }

    private Optional<RunnerView> choose(Pending entry) {
        CallerRequest request = entry.request();
        if (request.idempotent()) {
            return selector.select(request.routing(), sides.views());
        }
        ClaimKey key = new ClaimKey(request.routing().service(), request.idempotencyKey());
        return claimOwners.select(key, entry.attempt(), sides.views());
    }

    private WorkFrame frameOf(Pending entry) {
        CallerRequest request = entry.request();
        return new WorkFrame(
                request.id(),
                entry.attempt(),
                clock.millisUntil(request.deadlineNanos()),
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

    /** Finds the request of an answer's frame, or returns null if the frame belongs to an old attempt. */
    private Pending current(RequestId id, int attempt, SideConnection side) {
        Pending entry = pending.get(id);
        return entry != null && entry.attempt() == attempt && entry.side() == side ? entry : null;
    }

    void receipt(RequestId id, int attempt, SideConnection side) {
        Pending entry = current(id, attempt, side);
        if (entry != null) {
            entry.receipt();
        }
    }

    void head(AnswerHeadFrame frame, SideConnection side) {
        Pending entry = current(frame.id(), frame.attempt(), side);
        if (entry != null) {
            entry.head(frame);
        }
    }

    void part(AnswerPartFrame frame, SideConnection side) {
        Pending entry = current(frame.id(), frame.attempt(), side);
        if (entry == null || entry.head() == null || frame.offset() < entry.delivered()) {
            return;
        }
        entry.deliver(frame.units());
        if (isStream(entry)) {
            deliverEvents(entry, frame);
        } else {
            entry.body().writeBytes(frame.bytes());
        }
        if (frame.last()) {
            finish(entry);
        }
    }

    private static boolean isStream(Pending entry) {
        return entry.request().stream() && entry.head().contentType().startsWith("text/event-stream");
    }

    private void deliverEvents(Pending entry, AnswerPartFrame frame) {
        CallerRequest request = entry.request();
        if (!entry.isStreamOpened()) {
            entry.openStream();
            Answers.open(request, entry.head());
        }
        if (frame.bytes().length > 0) {
            request.response().write(frame.bytes());
        }
    }

    private void finish(Pending entry) {
        CallerRequest request = entry.request();
        if (!isStream(entry)) {
            Answers.open(request, entry.head());
            request.response().write(entry.body().toByteArray());
        }
        request.response().end();
        remove(entry);
    }

    private void remove(Pending entry) {
        pending.remove(entry.request().id());
        release(entry);
    }

    private static void release(Pending entry) {
        if (entry.side() != null) {
            entry.side().ended();
            entry.unassign();
        }
    }

    void refused(RefusalFrame frame, SideConnection side) {
        Pending entry = current(frame.id(), frame.attempt(), side);
        if (entry != null) {
            failed(entry, frame.refusal());
        }
    }

    private void failed(Pending entry, Refusal refusal) {
        release(entry);
        CallerRequest request = entry.request();
        boolean safe = refusal.kind() == RefusalKind.NOT_RUN || request.idempotent();
        boolean again = safe
                && refusal.kind() != RefusalKind.REJECTED
                && entry.attempt() < MOST_ATTEMPTS
                && !clock.isPast(request.deadlineNanos());
        if (again) {
            logger.debug("event=retry request={} reason={}", request.id(), refusal.reason());
            route(entry);
            return;
        }
        refuse(entry, refusal);
    }

    private void refuse(Pending entry, Refusal refusal) {
        CallerRequest request = entry.request();
        remove(entry);
        logger.info("event=refused request={} kind={} reason={}", request.id(), refusal.kind(), refusal.reason());
        if (entry.isStreamOpened()) {
            Answers.breakOff(request, refusal);
        } else {
            Answers.refuse(request.response(), request.id().toString(), refusal);
        }
    }

    void sideLost(SideConnection side) {
        for (Pending entry : new ArrayList<>(pending.values())) {
            if (entry.side() == side) {
                failed(entry, Refusal.outcomeUnknown(RefusalReason.BACKEND_LOST, "the link to the runner was lost"));
            }
        }
    }

    void callerGone(RequestId id) {
        Pending entry = pending.get(id);
        if (entry == null) {
            return;
        }
        cancelAtSide(entry);
        remove(entry);
    }

    private static void cancelAtSide(Pending entry) {
        if (entry.side() != null && entry.side().isOpen()) {
            entry.side().link().send(new CancelFrame(entry.request().id(), entry.attempt()));
        }
    }

    void tick() {
        List<Pending> all = new ArrayList<>(pending.values());
        for (Pending entry : all) {
            if (clock.isPast(entry.request().deadlineNanos())) {
                expire(entry);
            } else if (entry.side() == null) {
                route(entry);
            } else if (!entry.hasReceipt() && clock.isPast(entry.receiptDueNanos())) {
                logger.warn("event=no-receipt request={}", entry.request().id());
                entry.side().link().close();
            }
        }
    }

    private void expire(Pending entry) {
        boolean neverSent = entry.attempt() == 0;
        cancelAtSide(entry);
        Refusal refusal = neverSent
                ? Refusal.notRun(RefusalReason.NO_RUNNER, "no runner that holds the model could be reached in time")
                : Refusal.outcomeUnknown(RefusalReason.DEADLINE_PASSED, "the deadline passed before the answer");
        refuse(entry, refusal);
    }
}
