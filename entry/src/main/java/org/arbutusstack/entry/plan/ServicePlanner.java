package org.arbutusstack.entry.plan;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.placement.DemandTracker;
import org.arbutusstack.placement.PlanDecision;
import org.arbutusstack.placement.PlanInput;
import org.arbutusstack.placement.RunnerCapacity;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreLease;
import org.arbutusstack.store.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Planner of one service while this process holds its lease.
 *
 * <p>A new holder first rewrites the existing plan under its own, higher fence and without releases, so that every
 * later compare-and-swap of an earlier holder fails. A plan is published to others only if the lease is still valid
 * after the plan was written. Not thread-safe.
 */
final class ServicePlanner {

    private static final Logger logger = LoggerFactory.getLogger(ServicePlanner.class);

    private static final long HOLDER_CHECK_PERIOD_MILLIS = 1_000;

    /**
     * Pause after each decision, as a multiple of the duration of that decision, so that planning uses at most 1.7% of
     * one core.
     */
    private static final long PAUSE_FACTOR = 60;

    private final String service;

    private final PlannerContext context;

    private final DemandTracker demand;

    private final Map<String, Long> absentAtNanos = new HashMap<>();

    private Plan plan;

    private long fence;

    private long revision;

    private boolean fenceRaised;

    private long holderCheckAtNanos;

    private long settlingEndsAtNanos;

    private long decideAtNanos;

    ServicePlanner(String service, PlannerContext context) {
        this.service = service;
        this.context = context;
        this.plan = Plan.none(service);
        this.demand = context.newDemandTracker();
        this.holderCheckAtNanos = context.clock().nowNanos();
        this.decideAtNanos = holderCheckAtNanos;
    }

    /** Stop planning the service, without a call to the key-value service. */
    void stepDown() {
        if (fence != 0) {
            logger.warn("event=planner-yielded service={} fence={}", service, fence);
        }
        fence = 0;
        fenceRaised = false;
    }

    void run(DesiredState state, StoreLease lease) {
        if (fence == 0) {
            takeOver(lease);
        }
        if (fence != 0 && !fenceRaised) {
            raiseFence(lease);
        }
        if (fenceRaised) {
            decide(state, lease);
        }
    }

    private void takeOver(StoreLease lease) {
        Clock clock = context.clock();
        if (!clock.isPast(holderCheckAtNanos)) {
            return;
        }
        holderCheckAtNanos = clock.deadlineNanos(HOLDER_CHECK_PERIOD_MILLIS);
        KeyValueStore store = context.store();
        StoreResult<KeyValue> read = store.get(PlanKeys.holder(service), context.deadlineNanos());
        if (!(read instanceof StoreResult.Done<KeyValue> holder)) {
            return;
        }
        if (holder.value().exists()) {
            if (lease.isValid() && holder.value().text().equals(holderValue(lease))) {
                leadershipTaken(holder.value().revision());
            }
            return;
        }
        if (!lease.obtain()) {
            return;
        }
        byte[] holderValue = holderValue(lease).getBytes(StandardCharsets.UTF_8);
        StoreResult<Long> written =
                store.compareAndSwap(PlanKeys.holder(service), 0, holderValue, lease.id(), context.deadlineNanos());
        if (written instanceof StoreResult.Done<Long> done) {
            leadershipTaken(done.value());
        }
    }

    /**
     * Return the value that identifies this process and its lease, so that a write whose response was lost is
     * recognised.
     */
    private String holderValue(StoreLease lease) {
        return context.identity().incarnation() + '/' + lease.id();
    }

    private void leadershipTaken(long holderRevision) {
        logger.info("event=planner-lease service={} fence={}", service, holderRevision);
        fence = holderRevision;
        settlingEndsAtNanos = context.clock().deadlineNanos(context.settleMillis());
    }

    /** Rewrite the existing plan under the fence of this holder, so that writes of earlier holders fail. */
    private void raiseFence(StoreLease lease) {
        StoreResult<KeyValue> read = context.store().get(PlanKeys.plan(service), context.deadlineNanos());
        if (!(read instanceof StoreResult.Done<KeyValue> done)) {
            return;
        }
        KeyValue value = done.value();
        plan = value.exists() ? JsonCodec.read(value.value(), Plan.class) : Plan.none(service);
        revision = value.revision();
        if (plan.fence() > fence) {
            stepDown();
            return;
        }
        Plan next =
                new Plan(service, fence, plan.sequence() + 1, plan.stateSequence(), plan.modelsByRunner(), Map.of());
        fenceRaised = write(next, lease);
        if (fenceRaised) {
            plan.modelsByRunner().keySet().forEach(this::markAbsent);
        }
    }

    private void decide(DesiredState state, StoreLease lease) {
        List<RunnerCapacity> runners = context.directory().runners(service);
        Clock clock = context.clock();
        boolean allReachable = runners.size() >= context.directory().listedRunners(service);
        boolean settling = !allReachable && !clock.isPast(settlingEndsAtNanos);
        if (runners.isEmpty() || settling || !clock.isPast(decideAtNanos)) {
            return;
        }
        long startedNanos = clock.nowNanos();
        demand.update(runners, clock.nowNanos());
        PlanInput input =
                new PlanInput(state.modelsOf(service), runners, absentRunners(runners), plan, demand.demand());
        PlanDecision decision = context.planner().decide(input);
        decideAtNanos = clock.nowNanos() + PAUSE_FACTOR * (clock.nowNanos() - startedNanos);
        boolean unchanged = decision.modelsByRunner().equals(plan.modelsByRunner())
                && decision.releasedByRunner().equals(plan.releasedByRunner())
                && plan.stateSequence() == state.sequence();
        if (unchanged) {
            return;
        }
        Plan next = new Plan(
                service,
                fence,
                plan.sequence() + 1,
                state.sequence(),
                decision.modelsByRunner(),
                decision.releasedByRunner());
        write(next, lease);
    }

    /** Return the unreachable runners whose copies are still counted. */
    private Set<String> absentRunners(List<RunnerCapacity> runners) {
        Set<String> present = new HashSet<>();
        runners.forEach(runner -> present.add(runner.name()));
        plan.modelsByRunner().keySet().stream()
                .filter(name -> !present.contains(name))
                .forEach(this::markAbsent);
        absentAtNanos.keySet().removeAll(present);
        absentAtNanos.values().removeIf(untilNanos -> context.clock().isPast(untilNanos));
        return Set.copyOf(absentAtNanos.keySet());
    }

    private void markAbsent(String runner) {
        absentAtNanos.putIfAbsent(runner, context.clock().deadlineNanos(context.absentMillis()));
    }

    private boolean write(Plan next, StoreLease lease) {
        if (!lease.isValid()) {
            stepDown();
            return false;
        }
        StoreResult<Long> written = context.store()
                .compareAndSwap(
                        PlanKeys.plan(service),
                        revision,
                        JsonCodec.write(next),
                        KeyValueStore.NO_LEASE,
                        context.deadlineNanos());
        context.metrics().planned(service, written);
        if (written instanceof StoreResult.Done<Long> done && lease.isValid()) {
            context.metrics().placementChanged(service, plan, next);
            logger.info("event=plan-written service={} fence={} sequence={}", service, fence, next.sequence());
            plan = next;
            revision = done.value();
            context.plans().offer(next);
            return true;
        }
        fenceRaised = false;
        if (written instanceof StoreResult.Done) {
            stepDown();
        }
        return false;
    }
}
