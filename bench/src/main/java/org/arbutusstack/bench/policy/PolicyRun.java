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

/** One run of a policy over a trace in virtual time. Not thread-safe. */
final class PolicyRun {

    private static final long PLAN_MILLIS = 300;

    private static final long REPORT_MILLIS = 250;

    private static final long WARM_UP_SECONDS = 40;

    private static final long GRACE_SECONDS = 10;

    private static final long DEMAND_SMOOTHING_MILLIS = 2_000;

    private static final long PEAK_HOLD_MILLIS = 60_000;

    private static final int SEED_FACTOR = 1_000;

    private static final int PERCENT = 100;

    private static final String VERSION = "v1";

    private final Deployment deployment;

    private final PolicySetup setup;

    private final VirtualTime time = new VirtualTime();

    private final VirtualTotals totals;

    private final VirtualWeightStore weightStore;

    private final DemandTracker demand = new DemandTracker(DEMAND_SMOOTHING_MILLIS, PEAK_HOLD_MILLIS);

    private final Planner planner;

    private final RunnerSelector selector;

    private final List<VirtualRunner> runners = new ArrayList<>();

    private final List<ModelSpec> models = new ArrayList<>();

    private Plan plan = Plan.none("service");

    private int fewestReachable = Integer.MAX_VALUE;

    private int warmUpModelLoads;

    PolicyRun(Deployment deployment, PolicySetup setup, PlacementWeights placementWeights) {
        this.deployment = deployment;
        this.setup = setup;
        this.totals = new VirtualTotals(TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS));
        this.weightStore = new VirtualWeightStore(deployment.weightStoreSpeed(), time);
        this.planner = setup.policy().planner(placementWeights);
        this.selector = setup.policy().selector(deployment.zone(0), setup.seed());
        for (int number = 0; number < setup.runners(); number++) {
            runners.add(new VirtualRunner(
                    "runner-" + number, deployment.zone(number), deployment.engineShape(), time, weightStore, totals));
        }
        for (int number = 0; number < deployment.models(); number++) {
            models.add(new ModelSpec("model-" + number, "service", VERSION, Deployment.modelMb(number), 1));
        }
    }

    PolicyResult run() {
        long endSeconds = WARM_UP_SECONDS + setup.seconds();
        scheduleEvery(PLAN_MILLIS, endSeconds, this::plan);
        scheduleEvery(REPORT_MILLIS, endSeconds, () -> runners.forEach(VirtualRunner::publishLoad));
        time.runUntil(TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS));
        warmUpModelLoads = weightStore.modelLoads();
        double rate = setup.load() * deployment.requestsPerSecond(TraceFactory.MEAN_TOKENS);
        Workload workload =
                new Workload(rate, setup.seconds(), deployment.models(), deployment.adapters(), setup.scenario());
        long traceSeed = setup.seed() * SEED_FACTOR + Math.round(setup.load() * PERCENT);
        for (Arrival arrival : TraceFactory.of(setup.seed(), traceSeed, workload)) {
            Arrival shifted = afterWarmUp(arrival);
            time.scheduleAt(shifted.atNanos(), () -> route(shifted));
        }
        time.runUntil(TimeUnit.SECONDS.toNanos(endSeconds + GRACE_SECONDS));
        return result();
    }

    private static Arrival afterWarmUp(Arrival arrival) {
        return new Arrival(
                arrival.atNanos() + TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS),
                arrival.target(),
                arrival.urgency(),
                arrival.prompt(),
                arrival.tokens(),
                arrival.deadlineMillis());
    }

    private void scheduleEvery(long periodMillis, long untilSeconds, Runnable action) {
        for (long millis = 0; millis < TimeUnit.SECONDS.toMillis(untilSeconds); millis += periodMillis) {
            time.scheduleAt(TimeUnit.MILLISECONDS.toNanos(millis), action);
        }
    }

    private void plan() {
        List<RunnerCapacity> capacities =
                runners.stream().map(VirtualRunner::capacity).toList();
        demand.update(capacities, time.nowNanos());
        PlanDecision decision = planner.decide(new PlanInput(models, capacities, Set.of(), plan, demand.demand()));
        plan = new Plan("service", 1, plan.sequence() + 1, 1, decision.modelsByRunner(), decision.releasedByRunner());
        Map<String, List<String>> released = plan.releasedByRunner();
        runners.forEach(runner -> runner.applyPlan(
                plan.modelsByRunner().getOrDefault(runner.name(), List.of()),
                released.getOrDefault(runner.name(), List.of())));
        if (time.nowNanos() >= TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS)) {
            fewestReachable = Math.min(fewestReachable, countReachableModels());
        }
    }

    private int countReachableModels() {
        Set<String> ready = new HashSet<>();
        runners.forEach(runner -> ready.addAll(runner.readyModels()));
        return ready.size();
    }

    private void route(Arrival arrival) {
        String target = arrival.target();
        int number = Integer.parseInt(target.substring(target.indexOf('-') + 1));
        boolean adapted = target.startsWith("adapter");
        String modelKey = "model-" + (adapted ? deployment.modelOfAdapter(number) : number) + "@" + VERSION;
        String adapterKey = adapted ? target + "@" + VERSION : "";
        long deadlineNanos = arrival.atNanos() + TimeUnit.MILLISECONDS.toNanos(arrival.deadlineMillis());
        VirtualRequest request = new VirtualRequest(arrival, modelKey, adapterKey, deadlineNanos);
        totals.recordArrival(request);
        List<RunnerView> views = runners.stream().map(VirtualRunner::view).toList();
        selector.select(new RoutingRequest("service", modelKey, adapterKey), views)
                .ifPresentOrElse(
                        chosen -> runnerByName(chosen.name()).enqueue(request), () -> totals.recordRefusal(request));
    }

    private VirtualRunner runnerByName(String name) {
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
                weightStore.modelLoads() - warmUpModelLoads,
                totals.modelUnloads(),
                weightStore.adapterLoads(),
                totals.firstTokenMillis(50),
                totals.firstTokenMillis(95),
                fewestReachable);
    }
}
