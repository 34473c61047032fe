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

/** Holds the copies wanted on each runner and the room left while a plan is made. To be used by one thread. */
final class Layout {

    private final Map<String, RunnerCapacity> runners = new TreeMap<>();

    private final Map<String, ModelSpec> models = new HashMap<>();

    private final Map<String, String> names = new HashMap<>();

    private final Map<String, Set<String>> wanted = new TreeMap<>();

    private final Map<String, Set<String>> holders = new HashMap<>();

    private final Map<String, Set<String>> offering = new HashMap<>();

    private final Map<String, Set<String>> outdated = new HashMap<>();

    private final Map<String, Long> freeMb = new HashMap<>();

    private int loading;

    Layout(PlanInput input, boolean keepsSurplus) {
        input.models().forEach(model -> models.put(model.name(), model));
        for (RunnerCapacity runner : input.runners()) {
            runners.put(runner.name(), runner);
            freeMb.put(runner.name(), runner.memorySizeMb() - runner.modelsMb());
            wanted.put(runner.name(), new TreeSet<>());
        }
        input.absentRunners().forEach(name -> wanted.put(name, new TreeSet<>()));
        for (String name : wanted.keySet()) {
            input.current().modelsOf(name).stream()
                    .filter(key -> stays(name, key))
                    .forEach(key -> want(name, key));
        }
        for (RunnerCapacity runner : runners.values()) {
            keepOffered(runner, keepsSurplus ? input.current().releasedOf(runner.name()) : runner.readyKeys());
        }
    }

    private boolean stays(String runner, String key) {
        RunnerCapacity reached = runners.get(runner);
        boolean loadable = !isOutdated(key) || reached == null || reached.holds(key);
        return models.containsKey(nameOf(key)) && loadable;
    }

    /** Wants what a runner already offers, but for given-up copies of models that are wanted elsewhere. */
    private void keepOffered(RunnerCapacity runner, Collection<String> givenUp) {
        for (String key : new TreeSet<>(runner.readyKeys())) {
            ModelSpec model = models.get(nameOf(key));
            if (model == null) {
                continue;
            }
            boolean spare = !isOutdated(key) && !givenUp.contains(key);
            boolean only = currentCopies(model) == 0 && outdatedHolders(model).isEmpty();
            if (spare || only) {
                want(runner.name(), key);
            }
        }
    }

    private String nameOf(String key) {
        return names.computeIfAbsent(key, text -> WeightsKey.parse(text).name());
    }

    private boolean isOutdated(String key) {
        ModelSpec model = models.get(nameOf(key));
        return model != null && !keyOf(model).equals(key);
    }

    static String keyOf(ModelSpec model) {
        return WeightsKey.of(model).toString();
    }

    private void want(String runner, String key) {
        if (!wanted.get(runner).add(key)) {
            return;
        }
        account(runner, key, 1);
        index(holders, key).add(runner);
        RunnerCapacity reached = runners.get(runner);
        if (reached != null && reached.readyKeys().contains(key)) {
            index(offering, key).add(runner);
        }
        if (reached != null && isOutdated(key)) {
            index(outdated, nameOf(key)).add(runner);
        }
    }

    private void unwant(String runner, String key) {
        if (!wanted.get(runner).remove(key)) {
            return;
        }
        account(runner, key, -1);
        index(holders, key).remove(runner);
        index(offering, key).remove(runner);
    }

    private void account(String runner, String key, int sign) {
        RunnerCapacity reached = runners.get(runner);
        if (reached == null) {
            return;
        }
        loading += reached.readyKeys().contains(key) ? 0 : sign;
        if (!reached.holds(key) && !isOutdated(key)) {
            freeMb.merge(runner, -sign * models.get(nameOf(key)).memoryMb(), Long::sum);
        }
    }

    private static Set<String> index(Map<String, Set<String>> sets, String key) {
        return sets.computeIfAbsent(key, absent -> new TreeSet<>());
    }

    /** Counts the copies of the version in force that are wanted, on runners reached or absent for a moment. */
    int currentCopies(ModelSpec model) {
        return index(holders, keyOf(model)).size();
    }

    /** Tells whether a copy of the version in force is wanted on a runner that can be reached. */
    boolean hasReachableCopy(ModelSpec model) {
        return index(holders, keyOf(model)).stream().anyMatch(runners::containsKey);
    }

    /** Lists the runners that offer the version in force and are to go on holding it. */
    Set<String> readyHolders(ModelSpec model) {
        return Set.copyOf(index(offering, keyOf(model)));
    }

    /** Lists the runners that can be reached and where an earlier version is wanted. */
    List<String> outdatedHolders(ModelSpec model) {
        return List.copyOf(index(outdated, model.name()));
    }

    /** Counts the copies wanted that no runner offers yet. */
    int loading() {
        return loading;
    }

    long freeMb(String runner) {
        return freeMb.get(runner);
    }

    /** Tells the memory free on a runner once it has unloaded what is wanted no more. */
    long roomMb(String name) {
        RunnerCapacity runner = runners.get(name);
        Set<String> leaving = new HashSet<>(runner.readyKeys());
        leaving.addAll(runner.otherKeys());
        leaving.removeAll(wanted.get(name));
        return freeMb(name)
                + leaving.stream()
                        .map(key -> models.get(nameOf(key)))
                        .mapToLong(model -> model == null ? 0 : model.memoryMb())
                        .sum();
    }

    /**
     * Finds the runner for one more copy: one that offers it, a new availability zone, the fewest requests, the most
     * room.
     */
    Optional<String> bestRunner(ModelSpec model, Predicate<RunnerCapacity> permitted) {
        String key = keyOf(model);
        Set<String> taken = index(holders, key);
        Set<String> zones = zonesOf(taken);
        return runners.values().stream()
                .filter(runner -> !taken.contains(runner.name()))
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

    /** Counts the copies in the runner's availability zone. */
    long copiesInZone(String runner, ModelSpec model) {
        String zone = runners.get(runner).zone();
        return index(holders, keyOf(model)).stream()
                .filter(name ->
                        runners.containsKey(name) && runners.get(name).zone().equals(zone))
                .count();
    }

    void want(String runner, ModelSpec model) {
        want(runner, keyOf(model));
    }

    void drop(String runner, ModelSpec model) {
        unwant(runner, keyOf(model));
    }

    void dropOutdated(String runner, ModelSpec model) {
        for (String key : List.copyOf(wanted.get(runner))) {
            if (nameOf(key).equals(model.name()) && isOutdated(key)) {
                unwant(runner, key);
            }
        }
        index(outdated, model.name()).remove(runner);
    }

    Set<String> runnerNames() {
        return runners.keySet();
    }

    /** Lists the models of which a runner is to hold the version in force. */
    List<ModelSpec> modelsOn(String runner) {
        return wanted.get(runner).stream()
                .filter(key -> !isOutdated(key))
                .map(key -> models.get(nameOf(key)))
                .toList();
    }

    PlanDecision decision() {
        Map<String, List<String>> assigned = new TreeMap<>();
        Map<String, List<String>> released = new TreeMap<>();
        wanted.forEach((name, keys) -> assigned.put(name, List.copyOf(keys)));
        for (RunnerCapacity runner : runners.values()) {
            Set<String> given = new TreeSet<>(runner.readyKeys());
            given.addAll(runner.otherKeys());
            given.removeAll(wanted.get(runner.name()));
            List<String> keys = new ArrayList<>(given);
            keys.removeIf(key -> !isReplaced(key));
            if (!keys.isEmpty()) {
                released.put(runner.name(), keys);
            }
        }
        return new PlanDecision(assigned, released);
    }

    /** Tells whether an unwanted copy may go: its model was removed, or a copy in force is offered and stays. */
    private boolean isReplaced(String key) {
        ModelSpec model = models.get(nameOf(key));
        return model == null || !index(offering, keyOf(model)).isEmpty();
    }
}
