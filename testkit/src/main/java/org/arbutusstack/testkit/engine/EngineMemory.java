package org.arbutusstack.testkit.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.arbutusstack.testkit.Json;

/**
 * Accounting of the accelerator memory of an engine stand-in.
 *
 * <p>A load reserves its memory when it begins. A reservation beyond the size of the memory is granted and counted as a
 * violation. Thread-safe.
 */
final class EngineMemory {

    private final long sizeMb;

    private final Map<String, Resident> residents = new LinkedHashMap<>();

    private long peakMb;

    private long violations;

    private long modelUnloads;

    private long adapterUnloads;

    private long highestFence;

    EngineMemory(long sizeMb) {
        this.sizeMb = sizeMb;
    }

    synchronized boolean acceptFence(long fence) {
        if (fence < highestFence) {
            return false;
        }
        highestFence = fence;
        return true;
    }

    synchronized void reserve(String key, long memoryMb, boolean adapter) {
        if (residents.putIfAbsent(key, new Resident(memoryMb, adapter, false)) != null) {
            return;
        }
        long used = usedMb();
        peakMb = Math.max(peakMb, used);
        if (used > sizeMb) {
            violations++;
        }
    }

    synchronized void markReady(String key) {
        residents.computeIfPresent(key, (sameKey, old) -> new Resident(old.memoryMb, old.adapter, true));
    }

    synchronized void unload(String key) {
        Resident removed = residents.remove(key);
        if (removed == null) {
            return;
        }
        if (removed.adapter) {
            adapterUnloads++;
        } else {
            modelUnloads++;
        }
    }

    synchronized void clear() {
        residents.clear();
    }

    synchronized boolean isReady(String key) {
        Resident resident = residents.get(key);
        return resident != null && resident.ready;
    }

    synchronized boolean isReadyModel(String model) {
        return residents.entrySet().stream()
                .anyMatch(entry -> entry.getValue().ready
                        && !entry.getValue().adapter
                        && entry.getKey().startsWith(model + "@"));
    }

    synchronized long usedMb() {
        return residents.values().stream().mapToLong(Resident::memoryMb).sum();
    }

    synchronized long violations() {
        return violations;
    }

    synchronized ObjectNode json() {
        ObjectNode node = Json.object();
        node.put("memory_mb", sizeMb);
        node.put("used_mb", usedMb());
        node.put("peak_mb", peakMb);
        node.put("violations", violations);
        node.put("fence", highestFence);
        node.put("model_unloads", modelUnloads);
        node.put("adapter_unloads", adapterUnloads);
        ArrayNode models = node.putArray("models");
        ArrayNode adapters = node.putArray("adapters");
        residents.forEach((key, resident) -> {
            ObjectNode item = (resident.adapter ? adapters : models).addObject();
            item.put("key", key);
            item.put("memory_mb", resident.memoryMb);
            item.put("ready", resident.ready);
        });
        return node;
    }

    /** A model or adapter in memory. */
    private record Resident(long memoryMb, boolean adapter, boolean ready) {}
}
