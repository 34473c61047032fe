package org.arbutusstack.gateway.request;

import java.util.List;
import java.util.SplittableRandom;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.gateway.runner.RunnerSpeed;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.log.LogThrottle;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.RunnerOutlook;
import org.arbutusstack.routing.ZoneDecision;
import org.arbutusstack.routing.ZoneDemand;
import org.arbutusstack.routing.ZoneOverflow;
import org.arbutusstack.routing.ZoneShareChange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Restriction of the candidates for a request to the availability zones that it may use, and log of the shares that
 * leave. Confined to the entry's event loop.
 *
 * @see ZoneOverflow
 */
public final class ZoneCandidates {

    private static final Logger logger = LoggerFactory.getLogger(ZoneCandidates.class);

    /** Lines per second: a share needs a quarter of a second and more to move by what is reported. */
    private static final int LINES_PER_SECOND = 10;

    /** Bytes that one token of an answer moves: an event of a stream holds few tokens and the fields around them. */
    private static final long BYTES_PER_TOKEN = 32;

    private final String homeZone;

    /** The decision; {@code null} if the penalty is zero. */
    private final ZoneOverflow overflow;

    private final Clock clock;

    private final LogThrottle throttle;

    /**
     * Create the restriction.
     *
     * @param homeZone the availability zone of the entry
     * @param penaltyMillis the delay that a request takes to stay in its zone, in milliseconds; zero to let each
     *     request use all zones
     * @param clock the clock of the process
     */
    public ZoneCandidates(String homeZone, long penaltyMillis, Clock clock) {
        this.homeZone = Assert.notNull(homeZone, "homeZone");
        this.overflow = penaltyMillis == 0 ? null : new ZoneOverflow(homeZone, penaltyMillis);
        this.clock = Assert.notNull(clock, "clock");
        this.throttle = new LogThrottle(clock, LINES_PER_SECOND);
    }

    String homeZone() {
        return homeZone;
    }

    /**
     * Return the runners that a request may use.
     *
     * @param active the request, which keeps the reason of the decision
     * @param candidates the runners that can serve it
     * @param timeLeftMillis the time left until the target for its first event, in milliseconds
     * @return the runners in the zones chosen; all candidates if the penalty is zero
     */
    List<KnownRunner> restrict(ActiveRequest active, List<KnownRunner> candidates, long timeLeftMillis) {
        if (overflow == null || candidates.isEmpty()) {
            return candidates;
        }
        InboundRequest request = active.request();
        List<KnownRunner> usable = usable(request, candidates);
        List<RunnerOutlook> outlooks = usable.stream()
                .map(runner -> outlook(runner, request.needsModel()))
                .toList();
        ZoneDemand demand = new ZoneDemand(
                new SplittableRandom(request.id().hashCode()).nextDouble(),
                request.body().length + BYTES_PER_TOKEN * request.outputTokens(),
                timeLeftMillis);
        ZoneDecision decision = overflow.decide(poolOf(request), outlooks, demand, clock.nowNanos());
        active.zoneReason(decision.reason());
        overflow.takeChanges().forEach(this::log);
        return usable.stream()
                .filter(runner -> decision.zones().contains(runner.entry().zone()))
                .toList();
    }

    private static String poolOf(InboundRequest request) {
        return request.service() + '/' + request.model() + '/' + request.adapter();
    }

    /**
     * Exclude the engines of other zones without a current status, and those that do not hold the adapter as long as
     * others do. Plain services have no status; unreachable servers have been excluded before.
     */
    private List<KnownRunner> usable(InboundRequest request, List<KnownRunner> candidates) {
        List<KnownRunner> known = candidates.stream()
                .filter(runner -> !request.needsModel()
                        || runner.hasStatus()
                        || runner.entry().zone().equals(homeZone))
                .toList();
        if (request.adapter().isEmpty()) {
            return known.isEmpty() ? candidates : known;
        }
        String adapterKey = RunnerEntry.adapterKey(request.model(), request.adapter());
        List<KnownRunner> withAdapter = known.stream()
                .filter(runner -> runner.view().adapters().contains(adapterKey))
                .toList();
        if (!withAdapter.isEmpty()) {
            return withAdapter;
        }
        return known.isEmpty() ? candidates : known;
    }

    private static RunnerOutlook outlook(KnownRunner runner, boolean isEngine) {
        RunnerSpeed speed = runner.speed();
        double firstEventMillis = isEngine ? speed.firstEventMillis() : speed.answerMillis();
        double delayMillis = isEngine ? speed.delayMillis() : 0;
        return new RunnerOutlook(
                runner.entry().zone(),
                firstEventMillis,
                delayMillis,
                runner.entry().slots(),
                speed.isFull());
    }

    private void log(ZoneShareChange change) {
        if (throttle.tryAcquire()) {
            logger.info(
                    "event=zone-share pool={} zone={} previous={} share={} cause={} home_ms={} zone_ms={} delay_ms={}"
                            + " dropped={}",
                    change.pool(),
                    change.zone(),
                    rounded(change.previous()),
                    rounded(change.share()),
                    change.cause(),
                    Math.round(change.homeMillis()),
                    Math.round(change.zoneMillis()),
                    Math.round(change.delayMillis()),
                    throttle.takeSuppressed());
        }
    }

    private static double rounded(double share) {
        return Math.round(share * 1_000) / 1_000.0;
    }

    /**
     * Describe the shares for the state dump of the process.
     *
     * @return one line for each pool of requests and zone that receives a share of it
     */
    public List<String> describe() {
        return overflow == null ? List.of() : overflow.describe();
    }
}
