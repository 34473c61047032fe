package org.arbutusstack.gateway.quarantine;

import java.util.List;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.Strike;
import org.arbutusstack.routing.StrikePolicy;
import org.arbutusstack.routing.StrikeRegistry;
import org.arbutusstack.wire.frame.StrikeFrame;

/**
 * Memory of the strikes that a process passes on to entries, including those that connect later. Does no I/O;
 * thread-safe.
 */
final class StrikeRelay {

    private static final int MAX_KEYS = 1_000;

    private final Clock clock;

    private final StrikeRegistry strikes = new StrikeRegistry(MAX_KEYS, StrikePolicy.SHARED_CONTENT);

    /**
     * Create an empty memory.
     *
     * @param clock the clock of the process
     */
    StrikeRelay(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Add a strike; return whether it was not known. */
    synchronized boolean add(Strike strike) {
        return strikes.add(strike);
    }

    /** Withdraw the strikes of one crash; return the keys that they were of. */
    synchronized List<String> withdrawAll(String incident) {
        List<String> keys = strikes.all(clock.nowNanos()).stream()
                .filter(strike -> strike.incident().equals(incident))
                .map(Strike::key)
                .toList();
        keys.forEach(key -> strikes.withdraw(key, incident));
        return keys;
    }

    /**
     * Withdraw the strikes of content, since a request with it was answered.
     *
     * @param key the key of the content
     * @return whether there were any
     */
    synchronized boolean clear(String key) {
        return !strikes.clear(key).isEmpty();
    }

    /**
     * Apply a strike or a retraction that another process reports.
     *
     * @param frame the report
     * @return whether it changed anything, so that it has to be passed on
     */
    synchronized boolean received(StrikeFrame frame) {
        if (frame.valid()) {
            return strikes.add(Strike.of(frame, clock).expiringBy(clock.deadlineNanos(RunnerCrashes.RETENTION_MILLIS)));
        }
        return frame.incident().isEmpty() ? clear(frame.key()) : strikes.withdraw(frame.key(), frame.incident());
    }

    /**
     * Return the strikes for a process that has just connected.
     *
     * @return all strikes that have not expired
     */
    synchronized List<StrikeFrame> remembered() {
        return strikes.all(clock.nowNanos()).stream()
                .map(strike -> strike.toFrame(clock))
                .toList();
    }
}
