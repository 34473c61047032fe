package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.WeightsKey;

/** Simulation in virtual time of runners that load and unload models as planned and share the requests of a model. */
final class VirtualService {

    static final long PERIOD_MILLIS = 500;

    private static final long LOAD_MILLIS = 2_000;

    private static final int WEIGHT_STORE_LOADS = 4;

    private final CopyPlanner planner;

    private final DemandTracker tracker = new DemandTracker(2_000, 120_000);

    private final Map<String, Runner> runners = new TreeMap<>();

    private final Map<String, ModelSpec> models = new TreeMap<>();

    private final Map<String, Integer> demand = new HashMap<>();

    private final Map<String, Long> absentUntilMillis = new HashMap<>();

    private final int requestsPerCopy;

    private Plan plan = Plan.none("lm");

    private long nowMillis;

    private int loads;

    private int maxConcurrentLoads;

    private int overcommitted;

    private double requested;

    private double served;

    VirtualService(PlacementPolicy policy, PlacementWeights weights) {
        planner = new CopyPlanner(policy, weights);
        requestsPerCopy = weights.requestsPerCopy();
    }

    void addRunner(String name, String zone, long memoryMb) {
        runners.put(name, new Runner(name, zone, memoryMb));
    }

    void put(ModelSpec model) {
        models.put(model.name(), model);
    }

    void demand(String model, int requests) {
        demand.put(model, requests);
    }

    void kill(String name) {
        runners.remove(name);
        absentUntilMillis.put(name, nowMillis + 10_000);
    }

    void killZone(String zone) {
        runners.values().stream()
                .filter(runner -> runner.zone.equals(zone))
                .map(runner -> runner.name)
                .toList()
                .forEach(this::kill);
    }

    /** Advance the simulation by one planning period. */
    void step() {
        nowMillis += PERIOD_MILLIS;
        List<RunnerCapacity> capacities =
                runners.values().stream().map(this::capacity).toList();
        tracker.update(capacities, nowMillis * Clock.NANOS_PER_MILLI);
        absentUntilMillis.values().removeIf(until -> until <= nowMillis);
        PlanDecision decision = planner.decide(new PlanInput(
                List.copyOf(models.values()), capacities, absentUntilMillis.keySet(), plan, tracker.demand()));
        plan = new Plan("lm", 1, plan.sequence() + 1, 1, decision.modelsByRunner(), decision.releasedByRunner());
        runners.values().forEach(this::applyPlan);
        int loading = runners.values().stream()
                .mapToInt(runner ->
                        runner.readyAtMillis.size() - runner.ready(nowMillis).size())
                .sum();
        maxConcurrentLoads = Math.max(maxConcurrentLoads, loading);
        demand.forEach((model, requests) -> {
            requested += requests;
            served += Math.min(requests, (double) readyCopies(model) * requestsPerCopy);
        });
    }

    void steps(int count) {
        for (int step = 0; step < count; step++) {
            step();
        }
    }

    private void applyPlan(Runner runner) {
        for (String key : plan.releasedOf(runner.name)) {
            runner.release(key);
        }
        for (String key : plan.modelsOf(runner.name)) {
            ModelSpec model = models.get(WeightsKey.parse(key).name());
            boolean loadable = WeightsKey.of(model).toString().equals(key);
            if (loadable
                    && runner.freeMb() >= model.memoryMb()
                    && runner.load(key, model.memoryMb(), loadedAtMillis())) {
                loads++;
            }
        }
        overcommitted += runner.freeMb() < 0 ? 1 : 0;
    }

    private long loadedAtMillis() {
        long loading = runners.values().stream()
                .mapToLong(runner ->
                        runner.readyAtMillis.size() - runner.ready(nowMillis).size())
                .sum();
        return nowMillis + LOAD_MILLIS * Math.max(1, (loading + WEIGHT_STORE_LOADS) / WEIGHT_STORE_LOADS);
    }

    private RunnerCapacity capacity(Runner runner) {
        Set<String> ready = runner.ready(nowMillis);
        Set<String> other = new HashSet<>(runner.readyAtMillis.keySet());
        other.removeAll(ready);
        Map<String, Integer> share = new HashMap<>();
        demand.forEach((model, requests) -> {
            int copies = readyCopies(model);
            if (copies > 0 && runner.offers(model, nowMillis)) {
                share.put(model, requests / copies);
            }
        });
        return new RunnerCapacity(
                runner.name, runner.zone, runner.memoryMb, runner.memoryMb - runner.freeMb(), ready, other, share);
    }

    int readyCopies(String model) {
        return (int) runners.values().stream()
                .filter(runner -> runner.offers(model, nowMillis))
                .count();
    }

    int readyCopies(ModelSpec model) {
        String key = WeightsKey.of(model).toString();
        return (int) runners.values().stream()
                .filter(runner -> runner.ready(nowMillis).contains(key))
                .count();
    }

    Set<String> zonesOf(String model) {
        Set<String> zones = new TreeSet<>();
        runners.values().stream()
                .filter(runner -> runner.offers(model, nowMillis))
                .forEach(runner -> zones.add(runner.zone));
        return zones;
    }

    List<String> unavailableModels() {
        List<String> names = new ArrayList<>(models.keySet());
        names.removeIf(name -> readyCopies(name) > 0);
        return names;
    }

    List<String> holders(String model) {
        return runners.values().stream()
                .filter(runner -> runner.offers(model, nowMillis))
                .map(runner -> runner.name)
                .toList();
    }

    int loads() {
        return loads;
    }

    int maxConcurrentLoads() {
        return maxConcurrentLoads;
    }

    int overcommitted() {
        return overcommitted;
    }

    double attainment() {
        return served / requested;
    }

    /** Simulated runner and the models that it holds. */
    private static final class Runner {

        private final String name;

        private final String zone;

        private final long memoryMb;

        private final Map<String, Long> readyAtMillis = new TreeMap<>();

        private Set<String> ready = Set.of();

        private long readyCountedAtMillis = -1;

        private final Map<String, Long> residentsMb = new HashMap<>();

        Runner(String name, String zone, long memoryMb) {
            this.name = name;
            this.zone = zone;
            this.memoryMb = memoryMb;
        }

        Set<String> ready(long nowMillis) {
            if (readyCountedAtMillis == nowMillis) {
                return ready;
            }
            Set<String> keys = new TreeSet<>();
            readyAtMillis.forEach((key, at) -> {
                if (at <= nowMillis) {
                    keys.add(key);
                }
            });
            readyCountedAtMillis = nowMillis;
            ready = keys;
            return keys;
        }

        boolean offers(String model, long nowMillis) {
            return ready(nowMillis).stream()
                    .anyMatch(key -> WeightsKey.parse(key).name().equals(model));
        }

        long freeMb() {
            return memoryMb
                    - residentsMb.values().stream().mapToLong(Long::longValue).sum();
        }

        boolean load(String key, long sizeMb, long atMillis) {
            if (residentsMb.putIfAbsent(key, sizeMb) != null) {
                return false;
            }
            readyAtMillis.put(key, atMillis);
            readyCountedAtMillis = -1;
            return true;
        }

        void release(String key) {
            residentsMb.remove(key);
            readyAtMillis.remove(key);
            readyCountedAtMillis = -1;
        }
    }
}
