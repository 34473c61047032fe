package org.arbutusstack.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.bench.deployment.Deployment;
import org.arbutusstack.placement.RunnerCapacity;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.testkit.engine.EngineShape;

/** Stands for a runner with its side: residents, a queue by priority and deadline, and slots. Used by one thread. */
final class VirtualRunner {

    private static final long ADAPTER_MB = 400;

    private final String name;

    private final String zone;

    private final EngineShape shape;

    private final VirtualTime time;

    private final VirtualWeights weights;

    private final VirtualTotals totals;

    private final Map<String, Long> modelsMb = new HashMap<>();

    private final Set<String> readyModels = new HashSet<>();

    private final Set<String> adapters = new LinkedHashSet<>();

    private final Set<String> readyAdapters = new HashSet<>();

    private final List<VirtualRequest> waiting = new ArrayList<>();

    private final List<VirtualRequest> running = new ArrayList<>();

    private int reported;

    VirtualRunner(
            String name,
            String zone,
            EngineShape shape,
            VirtualTime time,
            VirtualWeights weights,
            VirtualTotals totals) {
        this.name = name;
        this.zone = zone;
        this.shape = shape;
        this.time = time;
        this.weights = weights;
        this.totals = totals;
    }

    String name() {
        return name;
    }

    Set<String> readyModels() {
        return readyModels;
    }

    void report() {
        reported = waiting.size() + running.size();
    }

    RunnerView view() {
        return new RunnerView(
                name, "service", zone, readyModels, readyAdapters, reported, waiting.size() + running.size());
    }

    RunnerCapacity capacity() {
        Set<String> others = new HashSet<>(modelsMb.keySet());
        others.removeAll(readyModels);
        Map<String, Integer> demand = new HashMap<>();
        waiting.forEach(request -> demand.merge(request.model(), 1, Integer::sum));
        running.forEach(request -> demand.merge(request.model(), 1, Integer::sum));
        return new RunnerCapacity(name, zone, shape.memoryMb(), usedByModelsMb(), readyModels, others, demand);
    }

    private long usedByModelsMb() {
        return modelsMb.values().stream().mapToLong(Long::longValue).sum();
    }

    private long freeMb() {
        return shape.memoryMb() - usedByModelsMb() - adapters.size() * ADAPTER_MB;
    }

    void adopt(List<String> wanted, List<String> released) {
        for (String key : released) {
            if (!wanted.contains(key) && readyModels.contains(key) && !isInUse(key)) {
                readyModels.remove(key);
                modelsMb.remove(key);
                totals.modelUnloaded();
            }
        }
        wanted.stream().filter(key -> !modelsMb.containsKey(key)).forEach(this::load);
    }

    private boolean isInUse(String key) {
        return running.stream().anyMatch(request -> request.modelKey().equals(key))
                || waiting.stream().anyMatch(request -> request.modelKey().equals(key));
    }

    private void load(String key) {
        long memoryMb = Deployment.modelMb(Integer.parseInt(key.substring(key.indexOf('-') + 1, key.indexOf('@'))));
        freeAdapters(memoryMb);
        if (freeMb() < memoryMb) {
            return;
        }
        modelsMb.put(key, memoryMb);
        weights.loadModel(() -> {
            readyModels.add(key);
            dispatch();
        });
    }

    /** Drops the adapters longest unused until there is room or all that are left are in use. */
    private void freeAdapters(long memoryMb) {
        boolean evicted = true;
        while (freeMb() < memoryMb && evicted) {
            evicted = evictAdapter();
        }
    }

    private boolean evictAdapter() {
        Optional<String> oldest =
                adapters.stream().filter(key -> !isAdapterInUse(key)).findFirst();
        oldest.ifPresent(adapters::remove);
        oldest.ifPresent(readyAdapters::remove);
        return oldest.isPresent();
    }

    private boolean isAdapterInUse(String key) {
        return !readyAdapters.contains(key)
                || running.stream().anyMatch(request -> request.adapterKey().equals(key));
    }

    void take(VirtualRequest request) {
        waiting.add(request);
        waiting.sort(
                Comparator.<VirtualRequest>comparingInt(each -> each.arrival().urgency())
                        .thenComparingLong(VirtualRequest::deadlineNanos));
        wantAdapter(request.adapterKey());
        dispatch();
    }

    private void wantAdapter(String key) {
        if (key.isEmpty() || adapters.contains(key)) {
            return;
        }
        freeAdapters(ADAPTER_MB);
        if (freeMb() < ADAPTER_MB) {
            return;
        }
        adapters.add(key);
        weights.loadAdapter(() -> {
            readyAdapters.add(key);
            dispatch();
        });
    }

    private void dispatch() {
        List<VirtualRequest> candidates = List.copyOf(waiting);
        for (VirtualRequest request : candidates) {
            if (time.nowNanos() + serviceNanos(request) > request.deadlineNanos()) {
                waiting.remove(request);
                totals.refused(request);
            } else if (running.size() < shape.slots() && isReady(request)) {
                waiting.remove(request);
                start(request);
            }
        }
    }

    private boolean isReady(VirtualRequest request) {
        if (request.adapterKey().isEmpty()) {
            return true;
        }
        wantAdapter(request.adapterKey());
        return readyAdapters.contains(request.adapterKey());
    }

    private void start(VirtualRequest request) {
        running.add(request);
        if (adapters.remove(request.adapterKey())) {
            adapters.add(request.adapterKey());
        }
        totals.started(request, time.nowNanos() + stepNanos());
        time.after(serviceNanos(request), () -> {
            running.remove(request);
            totals.ended(request, time.nowNanos());
            dispatch();
        });
    }

    private long stepNanos() {
        return TimeUnit.MILLISECONDS.toNanos(shape.stepMillis())
                + TimeUnit.MICROSECONDS.toNanos(shape.slots() * shape.stepMicrosPerRequest());
    }

    private long serviceNanos(VirtualRequest request) {
        return (request.arrival().tokens() + 1) * stepNanos();
    }
}
