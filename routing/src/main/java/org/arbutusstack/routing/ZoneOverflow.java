package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.Assert;

/**
 * Decides which availability zones' runners may serve a request: the home zone first, and others for a share of the
 * requests while the home zone is slower than they are by more than a penalty.
 *
 * <p>This addresses zones whose demand varies out of phase or that lose servers: their own servers are too few for
 * seconds, while those of a neighbour are idle. Sending each request to the least loaded runner instead would move half
 * of all requests between zones without need, and all entries together would flood a neighbour before its statuses show
 * it. A share moves slowly upwards and quickly downwards. Two zones never send to each other, since each would have to
 * be slower than the other.
 *
 * <p>Does no I/O. State is kept for each pool, the requests that the same runners can serve, and dropped when the pool
 * has been idle. Not thread-safe.
 *
 * @see TwoChoiceSelector
 */
public final class ZoneOverflow {

    /** Time after which the state of a pool without requests is dropped: its shares have long become zero. */
    private static final long IDLE_MILLIS = 10_000;

    /** Part of the time left below which a request gains nothing by leaving, even as part of the share. */
    private static final double IN_TIME_RATIO = 0.1;

    private final String homeZone;

    private final long penaltyMillis;

    private final Map<String, ZoneShares> pools = new HashMap<>();

    private final List<ZoneShareChange> changes = new ArrayList<>();

    /**
     * Create a decision without any share.
     *
     * @param homeZone the availability zone of the entry
     * @param penaltyMillis the delay that a request of usual size takes to stay in its zone, in milliseconds
     */
    public ZoneOverflow(String homeZone, long penaltyMillis) {
        this.homeZone = Assert.notNull(homeZone, "homeZone");
        this.penaltyMillis = Assert.atLeast(penaltyMillis, 1, "penaltyMillis");
    }

    /**
     * Decide on a request.
     *
     * @param pool the name of the requests that the same runners can serve, such as a service and a model
     * @param runners what the request can expect at each runner that can serve it; runners of other zones whose state
     *     is unknown are left out
     * @param demand the properties of the request
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the zones whose runners may serve the request
     * @throws IllegalArgumentException if there are no runners
     */
    public ZoneDecision decide(String pool, Collection<RunnerOutlook> runners, ZoneDemand demand, long nowNanos) {
        Assert.notEmpty(runners, "runners");
        Map<String, ZoneOutlook> zones = ZoneOutlook.byZone(runners);
        ZoneOutlook home = zones.remove(homeZone);
        if (home == null) {
            return new ZoneDecision(nearest(zones.values()), ZoneReason.ONLY_ELSEWHERE);
        }
        if (zones.isEmpty() && !pools.containsKey(pool)) {
            return stay(ZoneReason.ONLY_HOME);
        }
        ZoneShares shares = sharesOf(pool, nowNanos);
        shares.update(home, zones.values(), demand, penaltyMillis, nowNanos, changes::add);
        return zones.isEmpty() ? stay(ZoneReason.ONLY_HOME) : decide(shares, home, zones, demand);
    }

    private ZoneDecision decide(
            ZoneShares shares, ZoneOutlook home, Map<String, ZoneOutlook> zones, ZoneDemand demand) {
        double unloadedMillis = shares.unloadedMillis();
        if (home.fastestMillis() > Math.max(0, demand.timeLeftMillis())) {
            return zones.values().stream()
                    .filter(zone ->
                            !zone.full() && shares.hasRoom(zone.totalMillis(unloadedMillis), demand.timeLeftMillis()))
                    .min((one, other) ->
                            Double.compare(one.totalMillis(unloadedMillis), other.totalMillis(unloadedMillis)))
                    .map(zone -> new ZoneDecision(Set.of(zone.zone()), ZoneReason.LATE_AT_HOME))
                    .orElseGet(() -> stay(ZoneReason.OTHERS_FULL));
        }
        // A request of twice the usual size leaves with the square of the share's probability, and always at a share
        // of one.
        String chosen = shares.zoneFor(Math.pow(demand.draw(), 1 / shares.relativeSize(demand.sizeBytes())));
        ZoneOutlook zone = chosen == null ? null : zones.get(chosen);
        if (zone == null) {
            return stay(ZoneReason.HOME);
        }
        if (shares.homeMillis() < demand.timeLeftMillis() * IN_TIME_RATIO) {
            return stay(ZoneReason.IN_TIME);
        }
        if (zone.full()) {
            return stay(ZoneReason.OTHERS_FULL);
        }
        double zoneMillis = zone.totalMillis(unloadedMillis);
        if (zoneMillis >= home.totalMillis(unloadedMillis)) {
            return stay(ZoneReason.NO_GAIN);
        }
        if (zoneMillis > demand.timeLeftMillis()) {
            return stay(ZoneReason.LATE_ANYWHERE);
        }
        if (shares.isOverloaded(zoneMillis, demand.timeLeftMillis())) {
            return stay(ZoneReason.OTHERS_FULL);
        }
        return new ZoneDecision(Set.of(chosen), ZoneReason.SHARE);
    }

    private ZoneDecision stay(ZoneReason reason) {
        return new ZoneDecision(Set.of(homeZone), reason);
    }

    /** Return the zones that are within the penalty of the fastest one, without full ones unless all are. */
    private Set<String> nearest(Collection<ZoneOutlook> zones) {
        boolean allFull = zones.stream().allMatch(ZoneOutlook::full);
        List<ZoneOutlook> open =
                zones.stream().filter(zone -> allFull || !zone.full()).toList();
        double fastestMillis =
                open.stream().mapToDouble(zone -> zone.totalMillis(0)).min().orElseThrow();
        return open.stream()
                .filter(zone -> zone.totalMillis(0) <= fastestMillis + penaltyMillis)
                .map(ZoneOutlook::zone)
                .collect(Collectors.toSet());
    }

    private ZoneShares sharesOf(String pool, long nowNanos) {
        ZoneShares known = pools.get(pool);
        if (known != null) {
            return known;
        }
        pools.values().removeIf(shares -> shares.isIdle(nowNanos, IDLE_MILLIS));
        ZoneShares created = new ZoneShares(pool, nowNanos);
        pools.put(pool, created);
        return created;
    }

    /**
     * Return the changes of shares since the last call, and forget them.
     *
     * @return the changes in the order in which they happened
     */
    public List<ZoneShareChange> takeChanges() {
        if (changes.isEmpty()) {
            return List.of();
        }
        List<ZoneShareChange> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /**
     * Describe the shares for the state dump of the process.
     *
     * @return one line for each pool and zone with a share above zero
     */
    public List<String> describe() {
        return pools.values().stream()
                .flatMap(shares -> shares.describe().stream())
                .toList();
    }
}
