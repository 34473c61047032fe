package org.arbutusstack.entry.member;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Counts on which runners a ticket is in force, and remembers when it was first seen in force on all of them.
 *
 * <p>What an earlier run of a process acknowledged does not count for the run that follows it. Safe for use by any
 * thread.
 */
public final class AcknowledgementTracker {

    private static final int MAX_RECORDED_TIMES = 1_024;

    private static final int MAX_LISTED_MISSING = 20;

    /** The times at which all runners first had a sequence in force, by sequence. */
    private final TreeMap<Long, Long> completionTimesBySequence = new TreeMap<>();

    private List<RunnerAcknowledgement> latest = List.of();

    /**
     * Takes what the listed runners acknowledge now.
     *
     * @param runners one acknowledgement for each runner listed
     * @param nowMillis the wall-clock time in milliseconds since the epoch
     */
    public synchronized void observe(List<RunnerAcknowledgement> runners, long nowMillis) {
        latest = List.copyOf(runners);
        long inForceOnAll = runners.stream()
                .mapToLong(RunnerAcknowledgement::sequence)
                .min()
                .orElse(0);
        if (inForceOnAll == 0 || completionTimesBySequence.ceilingKey(inForceOnAll) != null) {
            return;
        }
        completionTimesBySequence.put(inForceOnAll, nowMillis);
        if (completionTimesBySequence.size() > MAX_RECORDED_TIMES) {
            completionTimesBySequence.pollFirstEntry();
        }
    }

    /**
     * Tells where a place of the log is in force.
     *
     * @param sequence the log sequence
     * @return the count
     */
    public synchronized InForceStatus inForce(long sequence) {
        List<String> missing = latest.stream()
                .filter(runner -> runner.sequence() < sequence)
                .map(RunnerAcknowledgement::runner)
                .sorted()
                .toList();
        Map.Entry<Long, Long> time = completionTimesBySequence.ceilingEntry(sequence);
        return new InForceStatus(
                latest.size() - missing.size(),
                latest.size(),
                missing.stream().limit(MAX_LISTED_MISSING).toList(),
                time == null ? OptionalLong.empty() : OptionalLong.of(time.getValue()));
    }

    /**
     * Tells whether the process beside a runner is linked.
     *
     * @param runner the runner's name
     * @return whether it is
     */
    public synchronized boolean isLinked(String runner) {
        return latest.stream().anyMatch(known -> known.runner().equals(runner) && known.isLinked());
    }
}
