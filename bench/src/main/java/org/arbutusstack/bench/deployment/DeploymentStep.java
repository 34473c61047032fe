package org.arbutusstack.bench.deployment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.bench.load.LoadGenerator;
import org.arbutusstack.bench.load.LoadResult;
import org.arbutusstack.bench.load.Outcome;
import org.arbutusstack.bench.load.Scenario;
import org.arbutusstack.bench.load.TraceFactory;
import org.arbutusstack.bench.load.Workload;
import org.arbutusstack.bench.process.MachineLoad;
import org.arbutusstack.testkit.Json;

/**
 * One load level that is applied to a running deployment.
 *
 * @param load the load as a share of the rate that all engines together can serve
 * @param seconds the time during which requests are sent, in seconds
 * @param seed the seed of the trace
 * @param scenario how the demand changes over time
 * @param fault the fault that is injected from one third to two thirds of the time
 */
record DeploymentStep(double load, long seconds, long seed, Scenario scenario, DeploymentFault fault) {

    private static final long REACHABILITY_POLL_MILLIS = 250;

    private static final int SEED_FACTOR = 1_000;

    private static final int PERCENT = 100;

    ObjectNode run(Deployment deployment, DeploymentCluster cluster) {
        double rate = load * deployment.requestsPerSecond(TraceFactory.MEAN_TOKENS);
        Workload workload = new Workload(rate, seconds, deployment.models(), deployment.adapters(), scenario);
        PlacementChanges before = cluster.placementChanges();
        AtomicInteger fewestReachable = new AtomicInteger(deployment.models());
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        Runnable pollReachable = () -> fewestReachable.accumulateAndGet(cluster.reachableModels(), Math::min);
        timer.scheduleAtFixedRate(pollReachable, 0, REACHABILITY_POLL_MILLIS, TimeUnit.MILLISECONDS);
        long thirdMillis = TimeUnit.SECONDS.toMillis(seconds) / 3;
        timer.schedule(() -> fault.inject(cluster), thirdMillis, TimeUnit.MILLISECONDS);
        timer.schedule(() -> fault.clear(cluster), 2 * thirdMillis, TimeUnit.MILLISECONDS);
        long traceSeed = seed * SEED_FACTOR + Math.round(load * PERCENT);
        LoadResult result = new LoadGenerator(cluster.client(), cluster.callerTargets())
                .run(TraceFactory.of(seed, traceSeed, workload));
        timer.shutdownNow();
        ObjectNode node = result.json();
        node.put("load", load);
        node.put("seed", seed);
        node.put("offered_per_second", rate);
        node.put(
                "in_time_per_accelerator_per_second",
                (double) result.count(Outcome.IN_TIME) / seconds / deployment.engineRunners());
        node.set("moves", Json.read(Json.write(cluster.placementChanges().since(before))));
        node.put("fewest_reachable_models", fewestReachable.get());
        node.put("machine_load", MachineLoad.lastMinute());
        return node;
    }
}
