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

/**
 * Simulation of a runner and its side: resident models and adapters, a queue ordered by urgency and deadline, and
 * slots. Not thread-safe.
 */
final class VirtualRunner {

    private static final long ADAPTER_MB = 400;

    private final String name;

    private final String zone;

    private final EngineShape shape;

    private final VirtualTime time;

    private final VirtualWeightStore weightStore;

    private final VirtualTotals totals;

    private final Map<String, Long> modelsMb = new HashMap<>();

    private final Set<String> readyModels = new HashSet<>();

    private final Set<String> adapters = new LinkedHashSet<>();

    private final Set<String> readyAdapters = new HashSet<>();

    private final List<VirtualRequest> queued = new ArrayList<>();

    private final List<VirtualRequest> running = new ArrayList<>();

    private int publishedLoad;

    VirtualRunner(
            String name,
            String zone,
            EngineShape shape,
            VirtualTime time,
            VirtualWeightStore weightStore,
            VirtualTotals totals) {
        this.name = name;
        this.zone = zone;
        this.shape = shape;
        this.time = time;
        this.weightStore = weightStore;
        this.totals = totals;
    }

    String name() {
        return name;
    }

    Set<String> readyModels() {
        return readyModels;
    }

    void publishLoad() {
        publishedLoad = queued.size() + running.size();
    }

    RunnerView view() {
        return new RunnerView(
                name, "service", zone, readyModels, readyAdapters, publishedLoad, queued.size() + running.size());
    }

    RunnerCapacity capacity() {
        Set<String> loadingModels = new HashSet<>(modelsMb.keySet());
        loadingModels.removeAll(readyModels);
        Map<String, Integer> demand = new HashMap<>();
        queued.forEach(request -> demand.merge(request.model(), 1, Integer::sum));
        running.forEach(request -> demand.merge(request.model(), 1, Integer::sum));
        return new RunnerCapacity(name, zone, shape.memoryMb(), usedByModelsMb(), readyModels, loadingModels, demand);
    }

    private long usedByModelsMb() {
        return modelsMb.values().stream().mapToLong(Long::longValue).sum();
    }

    private long freeMb() {
        return shape.memoryMb() - usedByModelsMb() - adapters.size() * ADAPTER_MB;
    }

    void applyPlan(List<String> wanted, List<String> released) {
        for (String key : released) {
            if (!wanted.contains(key) && readyModels.contains(key) && !isInUse(key)) {
                readyModels.remove(key);
                modelsMb.remove(key);
                totals.recordModelUnload();
            }
        }
        wanted.stream().filter(key -> !modelsMb.containsKey(key)).forEach(this::load);
    }

    private boolean isInUse(String key) {
        return running.stream().anyMatch(request -> request.modelKey().equals(key))
                || queued.stream().anyMatch(request -> request.modelKey().equals(key));
    }

    private void load(String key) {
        long memoryMb = Deployment.modelMb(Integer.parseInt(key.substring(key.indexOf('-') + 1, key.indexOf('@'))));
        evictAdapters(memoryMb);
        if (freeMb() < memoryMb) {
            return;
        }
        modelsMb.put(key, memoryMb);
        weightStore.loadModel(() -> {
            readyModels.add(key);
            dispatch();
        });
    }

    /** Evict the least recently used adapters until the memory suffices or all remaining adapters are in use. */
    private void evictAdapters(long memoryMb) {
        boolean evicted = true;
        while (freeMb() < memoryMb && evicted) {
            evicted = evictAdapter();
        }
    }

    private boolean evictAdapter() {
        Optional<String> leastRecentlyUsed =
                adapters.stream().filter(key -> !isAdapterInUse(key)).findFirst();
        leastRecentlyUsed.ifPresent(adapters::remove);
        leastRecentlyUsed.ifPresent(readyAdapters::remove);
        return leastRecentlyUsed.isPresent();
    }

    private boolean isAdapterInUse(String key) {
        return !readyAdapters.contains(key)
                || running.stream().anyMatch(request -> request.adapterKey().equals(key));
    }

    void enqueue(VirtualRequest request) {
        queued.add(request);
        queued.sort(Comparator.<VirtualRequest>comparingInt(
                        queuedRequest -> queuedRequest.arrival().urgency())
                .thenComparingLong(VirtualRequest::deadlineNanos));
        loadAdapterIfAbsent(request.adapterKey());
        dispatch();
    }

    private void loadAdapterIfAbsent(String key) {
        if (key.isEmpty() || adapters.contains(key)) {
            return;
        }
        evictAdapters(ADAPTER_MB);
        if (freeMb() < ADAPTER_MB) {
            return;
        }
        adapters.add(key);
        weightStore.loadAdapter(() -> {
            readyAdapters.add(key);
            dispatch();
        });
    }

    private void dispatch() {
        List<VirtualRequest> candidates = List.copyOf(queued);
        for (VirtualRequest request : candidates) {
            if (time.nowNanos() + serviceNanos(request) > request.deadlineNanos()) {
                queued.remove(request);
                totals.recordRefusal(request);
            } else if (running.size() < shape.slots() && isReady(request)) {
                queued.remove(request);
                start(request);
            }
        }
    }

    private boolean isReady(VirtualRequest request) {
        if (request.adapterKey().isEmpty()) {
            return true;
        }
        loadAdapterIfAbsent(request.adapterKey());
        return readyAdapters.contains(request.adapterKey());
    }

    private void start(VirtualRequest request) {
        running.add(request);
        if (adapters.remove(request.adapterKey())) {
            adapters.add(request.adapterKey());
        }
        totals.recordStart(request, time.nowNanos() + stepNanos());
        time.scheduleAfter(serviceNanos(request), () -> {
            running.remove(request);
            totals.recordEnd(request, time.nowNanos());
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
