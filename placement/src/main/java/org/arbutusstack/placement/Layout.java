package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.WeightsKey;

/** Holds the copies wanted on each runner and the room left while a plan is made. To be used by one thread. */
final class Layout {

    private final Map<String, RunnerCapacity> runners = new TreeMap<>();

    private final Map<String, ModelSpec> models = new HashMap<>();

    private final Map<String, Set<String>> wanted = new TreeMap<>();

    private final Set<String> absent;

    Layout(PlanInput input, boolean keepsSurplus) {
        absent = input.absentRunners();
        input.models().forEach(model -> models.put(model.name(), model));
        input.runners().forEach(runner -> runners.put(runner.name(), runner));
        runners.keySet().forEach(name -> wanted.put(name, new TreeSet<>()));
        absent.forEach(name -> wanted.put(name, new TreeSet<>()));
        for (String name : wanted.keySet()) {
            for (String key : input.current().modelsOf(name)) {
                RunnerCapacity runner = runners.get(name);
                boolean outdated = isOutdated(key);
                if (models.containsKey(WeightsKey.parse(key).name())
                        && (!outdated || runner == null || runner.holds(key))) {
                    wanted.get(name).add(key);
                }
            }
        }
        for (RunnerCapacity runner : runners.values()) {
            keepOffered(runner, keepsSurplus ? input.current().releasedOf(runner.name()) : runner.readyKeys());
        }
    }

    /** Wants what a runner already offers, but for given-up copies of models that are wanted elsewhere. */
    private void keepOffered(RunnerCapacity runner, Collection<String> givenUp) {
        for (String key : new TreeSet<>(runner.readyKeys())) {
            ModelSpec model = models.get(WeightsKey.parse(key).name());
            boolean spare = !isOutdated(key) && !givenUp.contains(key);
            if (model != null && (spare || copies(model) == 0)) {
                wanted.get(runner.name()).add(key);
            }
        }
    }

    private boolean isOutdated(String key) {
        ModelSpec model = models.get(WeightsKey.parse(key).name());
        return model != null && !keyOf(model).equals(key);
    }

    static String keyOf(ModelSpec model) {
        return WeightsKey.of(model).toString();
    }

    /** Counts the copies wanted, of any version, on runners reached or absent for a moment. */
    int copies(ModelSpec model) {
        return (int) wanted.values().stream()
                .filter(keys -> keys.stream().anyMatch(key -> isOf(key, model)))
                .count();
    }

    private static boolean isOf(String key, ModelSpec model) {
        return WeightsKey.parse(key).name().equals(model.name());
    }

    /** Counts the copies of the version in force that are wanted. */
    int currentCopies(ModelSpec model) {
        return (int) wanted.values().stream()
                .filter(keys -> keys.contains(keyOf(model)))
                .count();
    }

    /** Counts the copies of the version in force that are wanted on runners that can be reached. */
    int reachableCopies(ModelSpec model) {
        return (int) runners.keySet().stream()
                .filter(name -> wanted.get(name).contains(keyOf(model)))
                .count();
    }

    /** Lists the runners that offer the version in force and are to go on holding it. */
    Set<String> readyHolders(ModelSpec model) {
        String key = keyOf(model);
        return runners.values().stream()
                .filter(runner -> runner.readyKeys().contains(key)
                        && wanted.get(runner.name()).contains(key))
                .map(RunnerCapacity::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Lists the runners where an earlier version is wanted. */
    List<String> outdatedHolders(ModelSpec model) {
        return runners.keySet().stream()
                .filter(name -> wanted.get(name).stream().anyMatch(key -> isOf(key, model) && isOutdated(key)))
                .toList();
    }

    boolean offers(String runner, ModelSpec model) {
        return runners.get(runner).readyKeys().stream().anyMatch(key -> isOf(key, model));
    }

    /** Counts the copies wanted that no runner offers yet. */
    int loading() {
        int loading = 0;
        for (RunnerCapacity runner : runners.values()) {
            for (String key : wanted.get(runner.name())) {
                loading += runner.readyKeys().contains(key) ? 0 : 1;
            }
        }
        return loading;
    }

    long freeMb(String name) {
        RunnerCapacity runner = runners.get(name);
        long comingMb = wanted.get(name).stream()
                .filter(key -> !runner.holds(key) && !isOutdated(key))
                .mapToLong(key -> models.get(WeightsKey.parse(key).name()).memoryMb())
                .sum();
        return runner.memorySizeMb() - runner.modelsMb() - comingMb;
    }

    /** Tells the memory that comes free on a runner as it unloads what is wanted no more. */
    long leavingMb(String name) {
        RunnerCapacity runner = runners.get(name);
        Set<String> leaving = new HashSet<>(runner.readyKeys());
        leaving.addAll(runner.otherKeys());
        leaving.removeAll(wanted.get(name));
        return leaving.stream()
                .map(key -> models.get(WeightsKey.parse(key).name()))
                .mapToLong(model -> model == null ? 0 : model.memoryMb())
                .sum();
    }

    /** Finds the runner for one more copy: an availability zone without one first, then the most room. */
    Optional<String> bestRunner(ModelSpec model, Predicate<String> permitted) {
        String key = keyOf(model);
        Set<String> zones = runners.values().stream()
                .filter(runner -> wanted.get(runner.name()).contains(key))
                .map(RunnerCapacity::zone)
                .collect(Collectors.toSet());
        return runners.values().stream()
                .filter(runner -> !wanted.get(runner.name()).contains(key))
                .filter(runner -> !runner.otherKeys().contains(key))
                .filter(runner -> permitted.test(runner.name()))
                .min(Comparator.<RunnerCapacity, Boolean>comparing(
                                runner -> !runner.readyKeys().contains(key))
                        .thenComparing(runner -> zones.contains(runner.zone()))
                        .thenComparing(runner -> -freeMb(runner.name()))
                        .thenComparing(RunnerCapacity::name))
                .map(RunnerCapacity::name);
    }

    boolean fits(String runner, ModelSpec model, long reserveMb) {
        boolean offered = runners.get(runner).readyKeys().contains(keyOf(model));
        return offered || freeMb(runner) - reserveMb >= model.memoryMb();
    }

    /** Tells the number of copies in the runner's availability zone. */
    long copiesInZone(String runner, ModelSpec model) {
        String zone = runners.get(runner).zone();
        return runners.values().stream()
                .filter(each ->
                        each.zone().equals(zone) && wanted.get(each.name()).contains(keyOf(model)))
                .count();
    }

    void want(String runner, ModelSpec model) {
        wanted.get(runner).add(keyOf(model));
    }

    void drop(String runner, ModelSpec model) {
        wanted.get(runner).remove(keyOf(model));
    }

    void dropOutdated(String runner, ModelSpec model) {
        wanted.get(runner).removeIf(key -> isOf(key, model) && isOutdated(key));
    }

    Set<String> runnerNames() {
        return runners.keySet();
    }

    Set<String> wantedOn(String runner) {
        return wanted.get(runner);
    }

    Optional<ModelSpec> model(String key) {
        return Optional.ofNullable(models.get(WeightsKey.parse(key).name()));
    }

    PlanDecision decision() {
        Map<String, List<String>> assigned = new TreeMap<>();
        Map<String, List<String>> released = new TreeMap<>();
        wanted.forEach((name, keys) -> assigned.put(name, List.copyOf(keys)));
        for (RunnerCapacity runner : runners.values()) {
            List<String> keys = new ArrayList<>(runner.readyKeys());
            keys.addAll(runner.otherKeys());
            keys.removeAll(wanted.get(runner.name()));
            keys.removeIf(key -> !isReplaced(runner.name(), key));
            if (!keys.isEmpty()) {
                released.put(runner.name(), keys.stream().sorted().distinct().toList());
            }
        }
        return new PlanDecision(assigned, released);
    }

    /** Tells whether a copy may go: its model was removed, or another copy in force is offered and stays. */
    private boolean isReplaced(String runner, String key) {
        ModelSpec model = models.get(WeightsKey.parse(key).name());
        if (model == null) {
            return true;
        }
        Set<String> holders = readyHolders(model);
        if (keyOf(model).equals(key)) {
            holders.remove(runner);
        }
        return !holders.isEmpty();
    }
}
