package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.arbutusstack.kernel.time.Clock;

/**
 * Shares of the requests of one pool that leave for other availability zones, and the smoothed figures that move them.
 *
 * <p>A share is a part of an entry's own requests, so all entries of a zone together send the same part, however many
 * they are. It moves by time and not by request, and at a rate below what one round of the loop (status, smoothing,
 * queue) of about half a second can correct. Not thread-safe.
 */
final class ZoneShares {

    /** Time constant of the smoothed expectations: several statuses, so that single prompts do not move the shares. */
    private static final double SMOOTHING_MILLIS = 300;

    /** Time constant for a zone that becomes slower, so that it is left sooner than it is entered. */
    private static final double WORSENING_MILLIS = 100;

    /** Time constant with which the unloaded time rises, so that it forgets another kind of work. */
    private static final double UNLOADED_MILLIS = 60_000;

    /**
     * Longest step of time for which one decision moves a share, so that it also moves at an entry with a request a
     * second; a longer pause only lets it fall.
     */
    private static final double MAX_STEP_MILLIS = 1_000;

    /** Largest rise by one decision, which follows from a single look at the runners. */
    private static final double MAX_RISE = 0.1;

    /** Part of the time left from which on requests at home come late, as single ones need several times the mean. */
    private static final double NEED_RATIO = 0.25;

    /** Part of the time left below which the home zone needs no help; lower than the above, for hysteresis. */
    private static final double RELIEF_RATIO = 0.15;

    /** Part of the time left beyond the unloaded time up to which a zone has room; beyond it needs help itself. */
    private static final double ROOM_RATIO = 0.25;

    /** Factor on the room at which a zone counts as full; above one, for hysteresis. */
    private static final double FULL_FACTOR = 1.5;

    /** Rise per second: half the requests of a zone leave after 2.5 s, or after less if they are late. */
    private static final double RISE_PER_SECOND = 0.2;

    /** Limit on the acceleration for requests that are late already. */
    private static final double MAX_URGENCY = 4;

    private static final double FALL_PER_SECOND = 0.4;

    /** Fall per second towards a zone that is slower than the home zone: it is empty after half a second. */
    private static final double FAST_FALL_PER_SECOND = 2;

    /** Time without a request that needed help after which shares fall. */
    private static final long RELIEF_MILLIS = 500;

    /** Least change of a share that is reported. */
    private static final double REPORTED_CHANGE = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final double SIZE_SMOOTHING = 0.05;

    private final String pool;

    private final Map<String, Overflow> overflows = new TreeMap<>();

    private long updatedAtNanos;

    private long neededAtNanos;

    private double homeMillis = Double.NaN;

    private double unloadedMillis;

    private double meanBytes;

    /** State of one zone that may receive requests. */
    private static final class Overflow {

        private double millis;

        private double delayMillis;

        private double share;

        private double reportedShare;

        private double totalMillis() {
            return millis + delayMillis;
        }
    }

    ZoneShares(String pool, long nowNanos) {
        this.pool = pool;
        this.updatedAtNanos = nowNanos;
        this.neededAtNanos = nowNanos;
    }

    boolean isIdle(long nowNanos, long idleMillis) {
        return nowNanos - updatedAtNanos > idleMillis * Clock.NANOS_PER_MILLI;
    }

    /** Return the smoothed expected time to the first event at home. */
    double homeMillis() {
        return homeMillis;
    }

    /** Return the expected time in a zone without load, also assumed for one of which nothing is known. */
    double unloadedMillis() {
        return unloadedMillis;
    }

    /**
     * Return whether a zone can take further requests and still begin its own ones in time.
     *
     * @param totalMillis the expected first event in the zone, including the delay
     * @param timeLeftMillis the time left until the target of a request
     */
    boolean hasRoom(double totalMillis, long timeLeftMillis) {
        return totalMillis <= roomMillis(timeLeftMillis);
    }

    /** Return whether a zone needs what it has for its own requests. */
    boolean isOverloaded(double totalMillis, long timeLeftMillis) {
        return totalMillis > FULL_FACTOR * roomMillis(timeLeftMillis);
    }

    private double roomMillis(long timeLeftMillis) {
        double baseMillis = Math.min(unloadedMillis, timeLeftMillis / 2.0);
        return baseMillis + ROOM_RATIO * (timeLeftMillis - baseMillis);
    }

    /** Return the size of a request in relation to the usual one, at most twice and at least half of it. */
    double relativeSize(long sizeBytes) {
        return Math.max(0.5, Math.min(2, (sizeBytes + 1) / (meanBytes + 1)));
    }

    /** Return the zone that a request with a draw leaves for, or {@code null} if it stays. */
    String zoneFor(double draw) {
        double bound = 0;
        for (Map.Entry<String, Overflow> overflow : overflows.entrySet()) {
            bound += overflow.getValue().share;
            if (draw < bound) {
                return overflow.getKey();
            }
        }
        return null;
    }

    private double totalShare() {
        return overflows.values().stream()
                .mapToDouble(overflow -> overflow.share)
                .sum();
    }

    /** Update the shares with what a request that arrives now can expect. */
    void update(
            ZoneOutlook home,
            Collection<ZoneOutlook> others,
            ZoneDemand demand,
            double penaltyMillis,
            long nowNanos,
            Consumer<ZoneShareChange> changes) {
        double pauseMillis = Math.max(0, nowNanos - updatedAtNanos) / (double) Clock.NANOS_PER_MILLI;
        double stepMillis = Math.min(pauseMillis, MAX_STEP_MILLIS);
        updatedAtNanos = nowNanos;
        meanBytes += (meanBytes == 0 ? 1 : SIZE_SMOOTHING) * (demand.sizeBytes() - meanBytes);
        smooth(home, others, stepMillis, pauseMillis, changes);
        double need = homeMillis / Math.max(1, demand.timeLeftMillis());
        if (need >= RELIEF_RATIO) {
            neededAtNanos = nowNanos;
        }
        boolean relieved = nowNanos - neededAtNanos > RELIEF_MILLIS * Clock.NANOS_PER_MILLI;
        ZoneOutlook best = null;
        for (ZoneOutlook other : others) {
            Overflow overflow = overflows.get(other.zone());
            double gainMillis = homeMillis - overflow.totalMillis();
            boolean isBetter = best == null
                    || overflow.totalMillis() < overflows.get(best.zone()).totalMillis();
            boolean isOpen = !other.full() && hasRoom(overflow.totalMillis(), demand.timeLeftMillis());
            if (gainMillis > penaltyMillis && isOpen && isBetter) {
                best = other;
            }
            boolean full = other.full() || isOverloaded(overflow.totalMillis(), demand.timeLeftMillis());
            ZoneShareChange.Cause cause = fallCause(full, gainMillis, penaltyMillis, relieved);
            if (cause != null) {
                double perSecond = gainMillis < 0 || full ? FAST_FALL_PER_SECOND : FALL_PER_SECOND;
                move(other.zone(), -perSecond * stepMillis / MILLIS_PER_SECOND, cause, changes);
            }
        }
        if (best != null && need >= NEED_RATIO) {
            double urgency = Math.min(MAX_URGENCY, need / NEED_RATIO);
            double room = Math.min(1, best.slots() / (double) home.slots());
            double rise = Math.min(MAX_RISE, RISE_PER_SECOND * urgency * room * stepMillis / MILLIS_PER_SECOND);
            move(best.zone(), Math.min(rise, 1 - totalShare()), ZoneShareChange.Cause.HOME_SLOWER, changes);
        }
    }

    private static ZoneShareChange.Cause fallCause(
            boolean full, double gainMillis, double penaltyMillis, boolean relieved) {
        if (full) {
            return ZoneShareChange.Cause.FULL;
        }
        if (gainMillis < penaltyMillis / 2) {
            return ZoneShareChange.Cause.NO_GAIN;
        }
        return relieved ? ZoneShareChange.Cause.NOT_NEEDED : null;
    }

    private void smooth(
            ZoneOutlook home,
            Collection<ZoneOutlook> others,
            double stepMillis,
            double pauseMillis,
            Consumer<ZoneShareChange> changes) {
        smoothHome(home, others, pauseMillis);
        double idleFall = FALL_PER_SECOND * (pauseMillis - stepMillis) / MILLIS_PER_SECOND;
        for (ZoneOutlook other : others) {
            double nowMillis = other.totalMillis(unloadedMillis) - other.delayMillis();
            Overflow known = overflows.get(other.zone());
            if (known == null) {
                known = new Overflow();
                known.millis = nowMillis;
                overflows.put(other.zone(), known);
            }
            double constant = nowMillis > known.millis ? WORSENING_MILLIS : SMOOTHING_MILLIS;
            known.millis = approach(known.millis, nowMillis, pauseMillis, constant);
            known.delayMillis = other.delayMillis();
            if (idleFall > 0) {
                move(other.zone(), -idleFall, ZoneShareChange.Cause.NOT_NEEDED, changes);
            }
        }
        List<String> lost = new ArrayList<>(overflows.keySet());
        others.forEach(other -> lost.remove(other.zone()));
        for (String zone : lost) {
            move(zone, -1, ZoneShareChange.Cause.LOST, changes);
            overflows.remove(zone);
        }
    }

    /** Update the figures of the home zone; they remain as they are while nothing is known of it. */
    private void smoothHome(ZoneOutlook home, Collection<ZoneOutlook> others, double pauseMillis) {
        if (Double.isNaN(home.firstEventMillis())) {
            return;
        }
        double nowMillis = home.totalMillis(0);
        boolean isFirst = Double.isNaN(homeMillis);
        homeMillis = isFirst ? nowMillis : approach(homeMillis, nowMillis, pauseMillis, SMOOTHING_MILLIS);
        double leastMillis = Math.min(
                nowMillis,
                others.stream()
                        .mapToDouble(other -> other.totalMillis(nowMillis))
                        .min()
                        .orElse(nowMillis));
        unloadedMillis = isFirst
                ? leastMillis
                : Math.min(leastMillis, approach(unloadedMillis, leastMillis, pauseMillis, UNLOADED_MILLIS));
    }

    private static double approach(double from, double to, double pauseMillis, double constantMillis) {
        return from + (1 - Math.exp(-pauseMillis / constantMillis)) * (to - from);
    }

    /** Move a share and report it if it has moved far enough or has become zero. */
    private void move(String zone, double by, ZoneShareChange.Cause cause, Consumer<ZoneShareChange> changes) {
        Overflow overflow = overflows.get(zone);
        overflow.share = Math.max(0, Math.min(1, overflow.share + by));
        boolean ended = overflow.share == 0 && overflow.reportedShare > 0;
        if (!ended && Math.abs(overflow.share - overflow.reportedShare) < REPORTED_CHANGE) {
            return;
        }
        changes.accept(new ZoneShareChange(
                pool,
                zone,
                overflow.reportedShare,
                overflow.share,
                homeMillis,
                overflow.totalMillis(),
                overflow.delayMillis,
                cause));
        overflow.reportedShare = overflow.share;
    }

    /** Return one line for each zone with a share. */
    List<String> describe() {
        List<String> lines = new ArrayList<>();
        overflows.forEach((zone, overflow) -> {
            if (overflow.share > 0) {
                lines.add("pool=" + pool + " zone=" + zone + " share=" + Math.round(overflow.share * 1_000) / 1_000.0
                        + " home_ms=" + Math.round(homeMillis) + " zone_ms=" + Math.round(overflow.totalMillis())
                        + " delay_ms=" + Math.round(overflow.delayMillis));
            }
        });
        return lines;
    }
}
