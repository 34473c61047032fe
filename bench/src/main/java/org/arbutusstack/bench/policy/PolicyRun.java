package org.arbutusstack.bench.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.bench.deployment.Deployment;
import org.arbutusstack.bench.load.Arrival;
import org.arbutusstack.bench.load.TraceFactory;
import org.arbutusstack.bench.load.Workload;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.placement.DemandTracker;
import org.arbutusstack.placement.PlacementWeights;
import org.arbutusstack.placement.PlanDecision;
import org.arbutusstack.placement.PlanInput;
import org.arbutusstack.placement.Planner;
import org.arbutusstack.placement.RunnerCapacity;
import org.arbutusstack.routing.RoutingRequest;
import org.arbutusstack.routing.RunnerSelector;
import org.arbutusstack.routing.RunnerView;

/** Runs one policy over one trace under virtual time. To be used by one thread. */
final class PolicyRun {

    private static final long PLAN_MILLIS = 300;

    private static final long REPORT_MILLIS = 250;

    private static final long SETTLE_SECONDS = 40;

    private static final long GRACE_SECONDS = 10;

    private static final long SMOOTH_MILLIS = 2_000;

    private static final long HOLD_MILLIS = 60_000;

    private static final int SEED_FACTOR = 1_000;

    private static final int PERCENT = 100;

    private static final String VERSION = "v1";

    private final Deployment deployment;

    private final PolicySetup setup;

    private final VirtualTime time = new VirtualTime();

    private final VirtualTotals totals;

    private final VirtualWeights weights;

    private final DemandTracker demand = new DemandTracker(SMOOTH_MILLIS, HOLD_MILLIS);

    private final Planner planner;

    private final RunnerSelector selector;

    private final List<VirtualRunner> runners = new ArrayList<>();

    private final List<ModelSpec> models = new ArrayList<>();

    private Plan plan = Plan.none("service");

    private int fewestReachable = Integer.MAX_VALUE;

    private int firstLoads;

    PolicyRun(Deployment deployment, PolicySetup setup, PlacementWeights placementWeights) {
        this.deployment = deployment;
        this.setup = setup;
        this.totals = new VirtualTotals(TimeUnit.SECONDS.toNanos(SETTLE_SECONDS));
        this.weights = new VirtualWeights(deployment.weights(), time);
        this.planner = setup.policy().planner(placementWeights);
        this.selector = setup.policy().selector(deployment.zone(0), setup.seed());
        for (int number = 0; number < setup.runners(); number++) {
            runners.add(new VirtualRunner(
                    "runner-" + number, deployment.zone(number), deployment.shape(), time, weights, totals));
        }
        for (int number = 0; number < deployment.models(); number++) {
            models.add(new ModelSpec("model-" + number, "service", VERSION, Deployment.modelMb(number), 1));
        }
    }

    PolicyResult run() {
        long endSeconds = SETTLE_SECONDS + setup.seconds();
        every(PLAN_MILLIS, endSeconds, this::plan);
        every(REPORT_MILLIS, endSeconds, () -> runners.forEach(VirtualRunner::report));
        time.runUntil(TimeUnit.SECONDS.toNanos(SETTLE_SECONDS));
        firstLoads = weights.modelLoads();
        double rate = setup.load() * deployment.requestsPerSecond(TraceFactory.MEAN_TOKENS);
        Workload workload =
                new Workload(rate, setup.seconds(), deployment.models(), deployment.adapters(), setup.scenario());
        long traceSeed = setup.seed() * SEED_FACTOR + Math.round(setup.load() * PERCENT);
        for (Arrival arrival : TraceFactory.of(setup.seed(), traceSeed, workload)) {
            Arrival later = later(arrival);
            time.at(later.atNanos(), () -> arrive(later));
        }
        time.runUntil(TimeUnit.SECONDS.toNanos(endSeconds + GRACE_SECONDS));
        return result();
    }

    private static Arrival later(Arrival arrival) {
        return new Arrival(
                arrival.atNanos() + TimeUnit.SECONDS.toNanos(SETTLE_SECONDS),
                arrival.target(),
                arrival.urgency(),
                arrival.prompt(),
                arrival.tokens(),
                arrival.deadlineMillis());
    }

    private void every(long periodMillis, long untilSeconds, Runnable work) {
        for (long millis = 0; millis < TimeUnit.SECONDS.toMillis(untilSeconds); millis += periodMillis) {
            time.at(TimeUnit.MILLISECONDS.toNanos(millis), work);
        }
    }

    private void plan() {
        List<RunnerCapacity> capacities =
                runners.stream().map(VirtualRunner::capacity).toList();
        demand.update(capacities, time.nowNanos());
        PlanDecision decision = planner.decide(new PlanInput(models, capacities, Set.of(), plan, demand.demand()));
        plan = new Plan("service", 1, plan.sequence() + 1, 1, decision.modelsByRunner(), decision.releasedByRunner());
        Map<String, List<String>> released = plan.releasedByRunner();
        runners.forEach(runner -> runner.adopt(
                plan.modelsByRunner().getOrDefault(runner.name(), List.of()),
                released.getOrDefault(runner.name(), List.of())));
        if (time.nowNanos() >= TimeUnit.SECONDS.toNanos(SETTLE_SECONDS)) {
            fewestReachable = Math.min(fewestReachable, reachable());
        }
    }

    private int reachable() {
        Set<String> ready = new HashSet<>();
        runners.forEach(runner -> ready.addAll(runner.readyModels()));
        return ready.size();
    }

    private void arrive(Arrival arrival) {
        String target = arrival.target();
        int number = Integer.parseInt(target.substring(target.indexOf('-') + 1));
        boolean adapted = target.startsWith("adapter");
        String modelKey = "model-" + (adapted ? deployment.modelOf(number) : number) + "@" + VERSION;
        String adapterKey = adapted ? target + "@" + VERSION : "";
        long deadlineNanos = arrival.atNanos() + TimeUnit.MILLISECONDS.toNanos(arrival.deadlineMillis());
        VirtualRequest request = new VirtualRequest(arrival, modelKey, adapterKey, deadlineNanos);
        totals.arrived(request);
        List<RunnerView> views = runners.stream().map(VirtualRunner::view).toList();
        selector.select(new RoutingRequest("service", modelKey, adapterKey), views)
                .ifPresentOrElse(chosen -> byName(chosen.name()).take(request), () -> totals.refused(request));
    }

    private VirtualRunner byName(String name) {
        return runners.stream()
                .filter(runner -> runner.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private PolicyResult result() {
        return new PolicyResult(
                setup.policy().name(),
                setup.load(),
                setup.seed(),
                totals.requests(),
                (double) totals.inTime() / Math.max(1, totals.requests()),
                (double) totals.inTime() / setup.seconds() / setup.runners(),
                totals.refusedCount(),
                weights.modelLoads() - firstLoads,
                totals.modelUnloads(),
                weights.adapterLoads(),
                totals.firstTokenMillis(50),
                totals.firstTokenMillis(95),
                fewestReachable);
    }
}
