package org.arbutusstack.gateway.request;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.collect.RecentlyUsedMap;
import org.arbutusstack.kernel.log.LogThrottle;
import org.arbutusstack.kernel.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * History of the requests whose attempts this entry lost, by their content, so that logs and metrics show where such a
 * request was sent again and what was known of it then. Decides nothing. Confined to the entry's event loop.
 */
final class LossHistory {

    private static final Logger logger = LoggerFactory.getLogger(LossHistory.class);

    /** Limit on the requests remembered; several times those in flight at one entry. */
    private static final int MAX_REQUESTS = 1_024;

    private static final int LINES_PER_SECOND = 20;

    private final Clock clock;

    private final GatewayMetrics metrics;

    private final LogThrottle throttle;

    /** Losses by the key of the whole request; the one that was lost least recently is evicted first. */
    private final Map<String, Losses> lossesByKey = new RecentlyUsedMap<>(MAX_REQUESTS);

    LossHistory(Clock clock, GatewayMetrics metrics) {
        this.clock = Assert.notNull(clock, "clock");
        this.metrics = Assert.notNull(metrics, "metrics");
        this.throttle = new LogThrottle(clock, LINES_PER_SECOND);
    }

    /** Record an attempt whose connection broke. */
    void recordLost(ActiveRequest active) {
        lossesByKey.merge(
                active.requestKey(),
                new Losses(1, clock.nowNanos()),
                (before, now) -> new Losses(before.count() + 1, now.lastAtNanos()));
    }

    /** Forget the losses of a request, since it was answered. */
    void recordAnswered(ActiveRequest active) {
        if (!lossesByKey.isEmpty()) {
            lossesByKey.remove(active.requestKey());
        }
    }

    /** Log and count a request that is sent although attempts with the same content were lost. */
    void recordSent(ActiveRequest active, KnownRunner runner, Supplier<List<String>> suspectKeys) {
        Losses losses = lossesByKey.isEmpty() ? null : lossesByKey.get(active.requestKey());
        if (losses == null) {
            return;
        }
        metrics.countLostContentSent(active.request());
        if (throttle.tryAcquire()) {
            logger.info(
                    "event=lost-content-sent {} runner={} content={} losses={} last_ms_ago={} suspect_keys={}",
                    DecisionLog.describe(active),
                    runner.entry().id(),
                    active.requestKey(),
                    losses.count(),
                    clock.millisSince(losses.lastAtNanos()),
                    String.join(",", suspectKeys.get()));
        }
    }

    /**
     * Losses of one request.
     *
     * @param count how many attempts were lost
     * @param lastAtNanos when the last one was
     */
    private record Losses(int count, long lastAtNanos) {}
}
