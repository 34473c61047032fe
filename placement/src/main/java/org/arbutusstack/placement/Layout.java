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
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.WeightsKey;

/** Mutable working state of a planner: the copies assigned to each runner and the free memory. Not thread-safe. */
final class Layout {

    private final Map<String, RunnerCapacity> runners = new TreeMap<>();

    private final Map<String, ModelSpec> models = new HashMap<>();

    private final Map<String, String> namesByKey = new HashMap<>();

    private final Map<String, String> keysByName = new HashMap<>();

    private final Map<String, Set<String>> assignedKeys = new TreeMap<>();

    private final Map<String, Set<String>> holdersByKey = new HashMap<>();

    private final Map<String, Set<String>> readyHoldersByKey = new HashMap<>();

    private final Map<String, Set<String>> outdatedHoldersByModel = new HashMap<>();

    private final Map<String, Long> freeMb = new HashMap<>();

    private int pendingLoads;

    Layout(PlanInput input, boolean keepsSurplus) {
        input.models().forEach(model -> models.put(model.name(), model));
        for (RunnerCapacity runner : input.runners()) {
            runners.put(runner.name(), runner);
            freeMb.put(runner.name(), runner.memorySizeMb() - runner.modelsMb());
            assignedKeys.put(runner.name(), new TreeSet<>());
        }
        input.absentRunners().forEach(name -> assignedKeys.put(name, new TreeSet<>()));
        for (String name : assignedKeys.keySet()) {
            input.current().modelsOf(name).stream()
                    .filter(key -> remainsAssigned(name, key))
                    .forEach(key -> assign(name, key));
        }
        for (RunnerCapacity runner : runners.values()) {
            assignReady(runner, keepsSurplus ? input.current().releasedOf(runner.name()) : runner.readyKeys());
        }
    }

    private boolean remainsAssigned(String runner, String key) {
        RunnerCapacity capacity = runners.get(runner);
        boolean loadable = !isOutdated(key) || capacity == null || capacity.holds(key);
        return models.containsKey(nameOf(key)) && loadable;
    }

    /**
     * Assign the ready models of a runner to it, except for released and outdated copies of models that are assigned
     * elsewhere.
     */
    private void assignReady(RunnerCapacity runner, Collection<String> released) {
        for (String key : new TreeSet<>(runner.readyKeys())) {
            ModelSpec model = models.get(nameOf(key));
            if (model == null) {
                continue;
            }
            boolean retained = !isOutdated(key) && !released.contains(key);
            boolean lastCopy =
                    currentCopies(model) == 0 && outdatedHolders(model).isEmpty();
            if (retained || lastCopy) {
                assign(runner.name(), key);
            }
        }
    }

    private String nameOf(String key) {
        return namesByKey.computeIfAbsent(key, text -> WeightsKey.parse(text).name());
    }

    private boolean isOutdated(String key) {
        ModelSpec model = models.get(nameOf(key));
        return model != null && !keyOf(model).equals(key);
    }

    private String keyOf(ModelSpec model) {
        return keysByName.computeIfAbsent(
                model.name(), name -> WeightsKey.of(models.get(name)).toString());
    }

    private void assign(String runner, String key) {
        if (!assignedKeys.get(runner).add(key)) {
            return;
        }
        updateTotals(runner, key, 1);
        runnersFor(holdersByKey, key).add(runner);
        RunnerCapacity capacity = runners.get(runner);
        if (capacity != null && capacity.readyKeys().contains(key)) {
            runnersFor(readyHoldersByKey, key).add(runner);
        }
        if (capacity != null && isOutdated(key)) {
            runnersFor(outdatedHoldersByModel, nameOf(key)).add(runner);
        }
    }

    private void unassign(String runner, String key) {
        if (!assignedKeys.get(runner).remove(key)) {
            return;
        }
        updateTotals(runner, key, -1);
        runnersFor(holdersByKey, key).remove(runner);
        runnersFor(readyHoldersByKey, key).remove(runner);
    }

    private void updateTotals(String runner, String key, int sign) {
        RunnerCapacity capacity = runners.get(runner);
        if (capacity == null) {
            return;
        }
        pendingLoads += capacity.readyKeys().contains(key) ? 0 : sign;
        if (!capacity.holds(key) && !isOutdated(key)) {
            freeMb.merge(runner, -sign * models.get(nameOf(key)).memoryMb(), Long::sum);
        }
    }

    private static Set<String> runnersFor(Map<String, Set<String>> sets, String key) {
        return sets.computeIfAbsent(key, absent -> new TreeSet<>());
    }

    /** Return the number of assigned copies of the current version, on reachable and on briefly absent runners. */
    int currentCopies(ModelSpec model) {
        return runnersFor(holdersByKey, keyOf(model)).size();
    }

    /** Return whether a copy of the current version is assigned to a reachable runner. */
    boolean hasReachableCopy(ModelSpec model) {
        return runnersFor(holdersByKey, keyOf(model)).stream().anyMatch(runners::containsKey);
    }

    /** Return the runners on which the current version is ready and remains assigned. */
    Set<String> readyHolders(ModelSpec model) {
        return Set.copyOf(runnersFor(readyHoldersByKey, keyOf(model)));
    }

    /** Return the reachable runners to which an earlier version is assigned. */
    List<String> outdatedHolders(ModelSpec model) {
        return List.copyOf(runnersFor(outdatedHoldersByModel, model.name()));
    }

    /** Return the number of assigned copies that are not ready yet. */
    int pendingLoads() {
        return pendingLoads;
    }

    long freeMb(String runner) {
        return freeMb.get(runner);
    }

    /**
     * Return the memory that is free on a runner, in mebibytes, once it has unloaded all models that are no longer
     * assigned to it.
     */
    long freeAfterUnloadsMb(String name) {
        RunnerCapacity runner = runners.get(name);
        return freeMb(name) + unassignedMb(name, runner.readyKeys()) + unassignedMb(name, runner.otherKeys());
    }

    private long unassignedMb(String runner, Set<String> keys) {
        long sumMb = 0;
        for (String key : keys) {
            ModelSpec model = assignedKeys.get(runner).contains(key) ? null : models.get(nameOf(key));
            sumMb += model == null ? 0 : model.memoryMb();
        }
        return sumMb;
    }

    /**
     * Find the runner for another copy: prefer one on which the model is ready, then an availability zone without a
     * copy, then the fewest requests, then the most free memory.
     */
    Optional<String> bestRunner(ModelSpec model, Predicate<RunnerCapacity> permitted) {
        String key = keyOf(model);
        Set<String> holders = runnersFor(holdersByKey, key);
        Set<String> zones = zonesOf(holders);
        return runners.values().stream()
                .filter(runner -> !holders.contains(runner.name()))
                .filter(runner -> !runner.otherKeys().contains(key))
                .filter(permitted)
                .min(Comparator.<RunnerCapacity, Boolean>comparing(
                                runner -> !runner.readyKeys().contains(key))
                        .thenComparing(runner -> zones.contains(runner.zone()))
                        .thenComparing(RunnerCapacity::requests)
                        .thenComparing(runner -> -freeMb(runner.name()))
                        .thenComparing(RunnerCapacity::name))
                .map(RunnerCapacity::name);
    }

    private Set<String> zonesOf(Set<String> names) {
        Set<String> zones = new HashSet<>();
        for (String name : names) {
            if (runners.containsKey(name)) {
                zones.add(runners.get(name).zone());
            }
        }
        return zones;
    }

    boolean fits(RunnerCapacity runner, ModelSpec model, long reserveMb) {
        return runner.readyKeys().contains(keyOf(model)) || freeMb(runner.name()) - reserveMb >= model.memoryMb();
    }

    /** Return the number of copies in the availability zone of the runner. */
    long copiesInZone(String runner, ModelSpec model) {
        String zone = runners.get(runner).zone();
        return runnersFor(holdersByKey, keyOf(model)).stream()
                .filter(name ->
                        runners.containsKey(name) && runners.get(name).zone().equals(zone))
                .count();
    }

    void assign(String runner, ModelSpec model) {
        assign(runner, keyOf(model));
    }

    void drop(String runner, ModelSpec model) {
        unassign(runner, keyOf(model));
    }

    void dropOutdated(String runner, ModelSpec model) {
        for (String key : List.copyOf(assignedKeys.get(runner))) {
            if (nameOf(key).equals(model.name()) && isOutdated(key)) {
                unassign(runner, key);
            }
        }
        runnersFor(outdatedHoldersByModel, model.name()).remove(runner);
    }

    Set<String> runnerNames() {
        return runners.keySet();
    }

    /** Return the models whose current version is assigned to a runner. */
    List<ModelSpec> modelsOn(String runner) {
        return assignedKeys.get(runner).stream()
                .filter(key -> !isOutdated(key))
                .map(key -> models.get(nameOf(key)))
                .toList();
    }

    PlanDecision decision() {
        Map<String, List<String>> assigned = new TreeMap<>();
        Map<String, List<String>> released = new TreeMap<>();
        assignedKeys.forEach((name, keys) -> assigned.put(name, List.copyOf(keys)));
        for (RunnerCapacity runner : runners.values()) {
            Set<String> unassigned = new TreeSet<>(runner.readyKeys());
            unassigned.addAll(runner.otherKeys());
            unassigned.removeAll(assignedKeys.get(runner.name()));
            List<String> keys = new ArrayList<>(unassigned);
            keys.removeIf(key -> !isReplaced(key));
            if (!keys.isEmpty()) {
                released.put(runner.name(), keys);
            }
        }
        return new PlanDecision(assigned, released);
    }

    /**
     * Return whether an unassigned copy may be unloaded: its model was removed, or a copy of the current version is
     * ready and remains assigned.
     */
    private boolean isReplaced(String key) {
        ModelSpec model = models.get(nameOf(key));
        return model == null || !runnersFor(readyHoldersByKey, keyOf(model)).isEmpty();
    }
}
