package org.arbutusstack.side;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;

/**
 * Eviction policy for adapters: least recently used, with a minimum time in memory after each use. Confined to the
 * side's event loop.
 */
final class AdapterCache {

    private final Clock clock;

    private final int maxConcurrentLoads;

    private final long stickyMillis;

    private final Map<String, Long> stickyUntilNanos = new HashMap<>();

    /**
     * Create a new cache.
     *
     * @param clock the clock of the process
     * @param maxConcurrentLoads the maximum number of adapters that load at the same time, the side's fixed share of
     *     the weight store
     * @param stickyMillis how long an adapter is kept after its last use, in milliseconds
     */
    AdapterCache(Clock clock, int maxConcurrentLoads, long stickyMillis) {
        this.clock = clock;
        this.maxConcurrentLoads = maxConcurrentLoads;
        this.stickyMillis = stickyMillis;
    }

    void recordUse(String key) {
        stickyUntilNanos.put(key, clock.deadlineNanos(stickyMillis));
    }

    boolean mayLoad(int loading) {
        return loading < maxConcurrentLoads;
    }

    /** Return the adapter to unload, or empty if each is in use or was used within the sticky time. */
    Optional<String> selectVictim(Set<String> ready, Set<String> inUse) {
        stickyUntilNanos.keySet().removeIf(key -> !ready.contains(key) && !inUse.contains(key) && isEvictable(key));
        return ready.stream()
                .filter(key -> !inUse.contains(key) && isEvictable(key))
                .min(Comparator.<String>comparingLong(key -> stickyUntilNanos.getOrDefault(key, Long.MIN_VALUE))
                        .thenComparing(Comparator.naturalOrder()));
    }

    private boolean isEvictable(String key) {
        Long endNanos = stickyUntilNanos.get(key);
        return endNanos == null || clock.isPast(endNanos);
    }
}
