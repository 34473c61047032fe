package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.ModelSpec;

/**
 * Keeps copies where they are and puts missing ones on the runner with the most free memory, in a new availability zone
 * first.
 *
 * <p>Stateless; safe for use by any thread.
 *
 * @see Planner
 */
public final class SpreadingPlanner implements Planner {

    @Override
    public Map<String, List<String>> assign(List<ModelSpec> models, List<RunnerCapacity> runners, Plan current) {
        Map<String, ModelSpec> byName = models.stream().collect(Collectors.toMap(ModelSpec::name, model -> model));
        Map<String, List<String>> assigned = new TreeMap<>();
        Map<String, Long> freeMb = new HashMap<>();
        for (RunnerCapacity runner : runners) {
            List<String> kept = new ArrayList<>();
            long free = runner.memorySizeMb();
            for (String name : current.modelsOf(runner.name())) {
                ModelSpec model = byName.get(name);
                if (model != null && model.memoryMb() <= free) {
                    kept.add(name);
                    free -= model.memoryMb();
                }
            }
            assigned.put(runner.name(), kept);
            freeMb.put(runner.name(), free);
        }
        models.stream()
                .sorted(Comparator.comparingLong(ModelSpec::memoryMb).reversed().thenComparing(ModelSpec::name))
                .forEach(model -> addMissingCopies(model, runners, assigned, freeMb));
        return assigned;
    }

    private static void addMissingCopies(
            ModelSpec model,
            List<RunnerCapacity> runners,
            Map<String, List<String>> assigned,
            Map<String, Long> freeMb) {
        for (int copies = copiesOf(model, assigned); copies < model.minimumCopies(); copies++) {
            Optional<RunnerCapacity> best = bestRunner(model, runners, assigned, freeMb);
            if (best.isEmpty()) {
                return;
            }
            String name = best.get().name();
            assigned.get(name).add(model.name());
            freeMb.merge(name, -model.memoryMb(), Long::sum);
        }
    }

    private static int copiesOf(ModelSpec model, Map<String, List<String>> assigned) {
        return (int) assigned.values().stream()
                .filter(names -> names.contains(model.name()))
                .count();
    }

    private static Optional<RunnerCapacity> bestRunner(
            ModelSpec model,
            List<RunnerCapacity> runners,
            Map<String, List<String>> assigned,
            Map<String, Long> freeMb) {
        Set<String> zonesTaken = runners.stream()
                .filter(runner -> assigned.get(runner.name()).contains(model.name()))
                .map(RunnerCapacity::zone)
                .collect(Collectors.toSet());
        return runners.stream()
                .filter(runner -> !assigned.get(runner.name()).contains(model.name()))
                .filter(runner -> freeMb.get(runner.name()) >= model.memoryMb())
                .min(Comparator.<RunnerCapacity, Boolean>comparing(runner -> zonesTaken.contains(runner.zone()))
                        .thenComparing(runner -> -freeMb.get(runner.name()))
                        .thenComparing(RunnerCapacity::name));
    }
}
