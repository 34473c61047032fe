package org.arbutusstack.gateway.quarantine;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.collect.RecentlyUsedMap;
import org.arbutusstack.kernel.time.Clock;

/**
 * Schedule of the requests with undecided content, which are sent one at a time: a crash or an answer decides what
 * holds for the others.
 *
 * <p>Entries do not know of each other's trials. Each waits for a random part of a time that grows with their number,
 * so that the first trial is decided before most of the others would begin. Confined to the entry's event loop.
 */
public final class TrialSchedule {

    /** Time within which all entries hear of a crash: the work of the request, two probes and the links. */
    private static final long TRIAL_MILLIS = 300;

    private static final int MAX_REQUESTS = 1_024;

    private final SplittableRandom random;

    private final IntSupplier entryCount;

    private final Clock clock;

    private final Map<String, Long> dueAtNanosByKey = new RecentlyUsedMap<>(MAX_REQUESTS);

    /**
     * Create an empty schedule.
     *
     * @param entryName the name of this entry, which differs from those of all others
     * @param entryCount returns the number of entries
     * @param clock the clock of the process
     */
    public TrialSchedule(String entryName, IntSupplier entryCount, Clock clock) {
        this.random =
                new SplittableRandom(Assert.hasText(entryName, "entryName").hashCode());
        this.entryCount = Assert.notNull(entryCount, "entryCount");
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Decide whether a request with undecided content, which a runner could take now, is sent.
     *
     * @param key the key of its content
     * @return {@code true} if it is the one to be sent; {@code false} if it has to wait
     */
    boolean tryAcquire(String key) {
        Long dueAtNanos = dueAtNanosByKey.get(key);
        if (dueAtNanos == null) {
            dueAtNanosByKey.put(key, clock.deadlineNanos(delayMillis()));
            return false;
        }
        if (!clock.isPast(dueAtNanos)) {
            return false;
        }
        dueAtNanosByKey.put(key, clock.deadlineNanos(TRIAL_MILLIS + delayMillis()));
        return true;
    }

    private long delayMillis() {
        return random.nextLong(Math.max(1, entryCount.getAsInt()) * TRIAL_MILLIS);
    }
}
