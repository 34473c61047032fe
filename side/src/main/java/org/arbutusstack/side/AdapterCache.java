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

    private final int loadsAtOnce;

    private final long stickyMillis;

    private final Map<String, Long> keptUntilNanos = new HashMap<>();

    /**
     * Creates a cache.
     *
     * @param clock the clock of the process
     * @param loadsAtOnce the adapters that may load at once, the side's fixed share of the weight store
     * @param stickyMillis how long an adapter is kept after its last use, in milliseconds
     */
    AdapterCache(Clock clock, int loadsAtOnce, long stickyMillis) {
        this.clock = clock;
        this.loadsAtOnce = loadsAtOnce;
        this.stickyMillis = stickyMillis;
    }

    void used(String key) {
        keptUntilNanos.put(key, clock.deadlineNanos(stickyMillis));
    }

    boolean mayLoad(int loading) {
        return loading < loadsAtOnce;
    }

    /** Finds the adapter to unload; empty if all are in use or were used a moment ago. */
    Optional<String> victim(Set<String> ready, Set<String> inUse) {
        keptUntilNanos.keySet().removeIf(key -> !ready.contains(key) && !inUse.contains(key) && isFree(key));
        return ready.stream()
                .filter(key -> !inUse.contains(key) && isFree(key))
                .min(Comparator.<String>comparingLong(key -> keptUntilNanos.getOrDefault(key, Long.MIN_VALUE))
                        .thenComparing(Comparator.naturalOrder()));
    }

    private boolean isFree(String key) {
        Long untilNanos = keptUntilNanos.get(key);
        return untilNanos == null || clock.isPast(untilNanos);
    }
}
