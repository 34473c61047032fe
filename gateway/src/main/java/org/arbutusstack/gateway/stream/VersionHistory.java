package org.arbutusstack.gateway.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * The versions of the software that the runners of each service have had lately. Does no I/O; confined to the entry's
 * event loop.
 */
public final class VersionHistory {

    /** Several times the interval between observations; the process was held up if it is longer. */
    private static final long MAX_INTERVAL_MILLIS = 500;

    /** The versions of a service whose runners do not name theirs. */
    private static final Set<String> UNNAMED = Set.of("");

    private final RunnerTable runners;

    private final Clock clock;

    private final Map<String, Map<String, Long>> seenAtNanosByService = new HashMap<>();

    /** Since when this entry has seen each version that served. */
    private long completeSinceNanos;

    private long observedAtNanos;

    /**
     * Create a history that begins now.
     *
     * @param runners the known runners
     * @param clock the clock of the process
     */
    public VersionHistory(RunnerTable runners, Clock clock) {
        this.runners = Assert.notNull(runners, "runners");
        this.clock = Assert.notNull(clock, "clock");
        this.completeSinceNanos = clock.nowNanos();
        this.observedAtNanos = clock.nowNanos();
    }

    /** Record the versions of the runners known now; has to be called several times a second. */
    public void observe() {
        boolean wasHeldUp = clock.isPast(observedAtNanos + MAX_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI);
        if (wasHeldUp || runners.isDirectoryLost() || runners.all().isEmpty()) {
            completeSinceNanos = clock.nowNanos();
        }
        observedAtNanos = clock.nowNanos();
        for (KnownRunner runner : runners.all()) {
            seenAtNanosByService
                    .computeIfAbsent(runner.entry().service(), service -> new HashMap<>())
                    .put(runner.entry().softwareVersion(), clock.nowNanos());
        }
        seenAtNanosByService.values().forEach(seen -> seen.values().removeIf(this::isForgotten));
        seenAtNanosByService.values().removeIf(Map::isEmpty);
    }

    private boolean isForgotten(long seenAtNanos) {
        return clock.isPast(seenAtNanos + StreamOriginMemory.RETENTION_MILLIS * Clock.NANOS_PER_MILLI);
    }

    /**
     * Return whether all streams of a service that may still go on have begun at the same version. That also holds if
     * none of its runners names a version.
     *
     * @param service the name of the service
     * @return {@code false} also if another version may have served without this entry having seen it
     */
    public boolean hasOneVersion(String service) {
        observe();
        Set<String> versions =
                seenAtNanosByService.getOrDefault(service, Map.of()).keySet();
        return versions.equals(UNNAMED) || isForgotten(completeSinceNanos) && versions.size() <= 1;
    }
}
