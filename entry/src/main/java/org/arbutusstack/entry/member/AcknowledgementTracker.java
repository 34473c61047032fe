package org.arbutusstack.entry.member;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Tracker of the runners on which a ticket is in force, and of when it was first seen in force on all of them.
 *
 * <p>An acknowledgement by an earlier incarnation of a process does not count for its successor. Thread-safe.
 */
public final class AcknowledgementTracker {

    private static final int MAX_RECORDED_TIMES = 1_024;

    private static final int MAX_LISTED_MISSING = 20;

    /** Times in milliseconds since the epoch at which a sequence was first in force on all runners, by sequence. */
    private final TreeMap<Long, Long> completionTimesBySequence = new TreeMap<>();

    private List<RunnerAcknowledgement> latest = List.of();

    /**
     * Update the tracker with the current acknowledgements.
     *
     * @param runners one acknowledgement for each listed runner
     * @param nowMillis the wall-clock time, in milliseconds since the epoch
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
     * Return on how many runners a sequence of the ticket log is in force.
     *
     * @param sequence the log sequence
     * @return the status of the sequence
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
     * Return whether the process that manages a runner has an open link to this entry.
     *
     * @param runner the name of the runner
     * @return {@code true} if a link is open
     */
    public synchronized boolean isLinked(String runner) {
        return latest.stream().anyMatch(known -> known.runner().equals(runner) && known.isLinked());
    }
}
