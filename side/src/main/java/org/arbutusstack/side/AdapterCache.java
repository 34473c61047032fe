package org.arbutusstack.side;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;

/** Chooses which idle adapter makes room: the one used longest ago. Used by the side's duty only. */
final class AdapterCache {

    private final Clock clock;

    private final int maxConcurrentLoads;

    private final long stickyMillis;

    private final Map<String, Long> stickyUntilNanos = new HashMap<>();

    /**
     * Creates a cache.
     *
     * @param clock the clock of the process
     * @param maxConcurrentLoads the adapters that may load at once, the side's fixed share of the weight store
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

    /** Finds the adapter to unload; empty if all are in use or were used a moment ago. */
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
