package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one more request can expect in an availability zone.
 *
 * @param zone the name of the zone
 * @param firstEventMillis the expected time to the first event without the delay, in milliseconds; not a number if
 *     nothing is known
 * @param fastestMillis the same at the fastest runner
 * @param delayMillis the time that the links to the zone add, in milliseconds
 * @param slots the sum of the slots of its runners, at least their number
 * @param full whether the runners that would be chosen have no free slot
 */
record ZoneOutlook(
        String zone, double firstEventMillis, double fastestMillis, double delayMillis, int slots, boolean full) {

    /** Summarize runners by zone. */
    static Map<String, ZoneOutlook> byZone(Collection<RunnerOutlook> runners) {
        Map<String, List<RunnerOutlook>> grouped = new HashMap<>();
        runners.forEach(runner -> grouped.computeIfAbsent(runner.zone(), zone -> new ArrayList<>())
                .add(runner));
        Map<String, ZoneOutlook> outlooks = new HashMap<>();
        grouped.forEach((zone, members) -> outlooks.put(zone, of(zone, members)));
        return outlooks;
    }

    /**
     * Summarize the runners of one zone by the faster half of them: the better of two runners is usually among these,
     * and a few slow runners do not make the zone appear slow.
     */
    private static ZoneOutlook of(String zone, List<RunnerOutlook> runners) {
        List<RunnerOutlook> known = runners.stream()
                .filter(runner -> !Double.isNaN(runner.firstEventMillis()))
                .sorted(Comparator.comparingDouble(runner -> runner.firstEventMillis() + runner.delayMillis()))
                .toList();
        List<RunnerOutlook> fasterHalf = known.subList(0, (known.size() + 1) / 2);
        int slots =
                runners.stream().mapToInt(runner -> Math.max(1, runner.slots())).sum();
        return new ZoneOutlook(
                zone,
                fasterHalf.stream()
                        .mapToDouble(RunnerOutlook::firstEventMillis)
                        .average()
                        .orElse(Double.NaN),
                fasterHalf.isEmpty() ? Double.NaN : fasterHalf.get(0).firstEventMillis(),
                fasterHalf.stream()
                        .mapToDouble(RunnerOutlook::delayMillis)
                        .average()
                        .orElse(0),
                slots,
                !fasterHalf.isEmpty() && fasterHalf.stream().allMatch(RunnerOutlook::full));
    }

    /** Return the expected time to the first event including the delay, or a fallback plus the delay if unknown. */
    double totalMillis(double fallbackMillis) {
        return (Double.isNaN(firstEventMillis) ? fallbackMillis : firstEventMillis) + delayMillis;
    }
}
