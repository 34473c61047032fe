package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.arbutusstack.kernel.Assert;

/**
 * Detector that distinguishes a crash of the engine from a lost connection by what the engine reports afterwards: its
 * own crash counter, or that it lost all models. Does no I/O. Confined to the side's event loop.
 */
final class CrashDetector {

    private static final long UNKNOWN = -1;

    private final String incarnation;

    private final Set<String> lostDigests = new LinkedHashSet<>();

    private long incidentNumber = 1;

    private long lastLossNanos;

    private long loadRequestedAtNanos;

    private long crashDetectedAtNanos;

    private boolean crashDetected;

    private long lastCrashCount = UNKNOWN;

    private boolean lastHeldModels;

    CrashDetector(String incarnation) {
        this.incarnation = Assert.hasText(incarnation, "incarnation");
    }

    /**
     * Record that the connection to the engine was lost while it ran a request.
     *
     * @param digest the digest of the request's content
     * @param sentAtNanos when the request was sent, in nanoseconds of the process clock
     * @param nowNanos the current time, in nanoseconds of the process clock
     * @return the name of the incident; that of the last crash if the request was sent before it was detected
     */
    String connectionLost(String digest, long sentAtNanos, long nowNanos) {
        if (crashDetected && sentAtNanos - crashDetectedAtNanos < 0) {
            return incidentName(incidentNumber - 1);
        }
        lostDigests.add(digest);
        lastLossNanos = nowNanos;
        return incidentName(incidentNumber);
    }

    private String incidentName(long number) {
        return incarnation + '-' + number;
    }

    /** Return whether a loss is not explained by a report yet. */
    boolean hasUnexplainedLoss() {
        return !lostDigests.isEmpty();
    }

    void loadRequested(long nowNanos) {
        loadRequestedAtNanos = nowNanos;
    }

    /**
     * Evaluate a load report of the engine. A report that was requested before the last loss explains that loss only if
     * it shows a crash.
     *
     * @param load the load report
     * @param nowNanos the current time, in nanoseconds of the process clock
     * @return whether the engine crashed, and the losses that the report explains
     */
    Verdict loadReported(JsonNode load, long nowNanos) {
        long crashCount = load.path("crashes").asLong(UNKNOWN);
        boolean holdsModels = load.path("models").size() > 0;
        boolean crashed = crashCount == UNKNOWN
                ? lastHeldModels && !holdsModels
                : lastCrashCount != UNKNOWN && crashCount > lastCrashCount;
        lastCrashCount = crashCount;
        lastHeldModels = holdsModels;
        if (crashed) {
            crashDetected = true;
            crashDetectedAtNanos = nowNanos;
            return resolveLosses(true);
        }
        boolean requestedSinceLoss = loadRequestedAtNanos - lastLossNanos > 0;
        return lostDigests.isEmpty() || !requestedSinceLoss ? new Verdict(false, "", List.of()) : resolveLosses(false);
    }

    private Verdict resolveLosses(boolean crashed) {
        Verdict verdict = new Verdict(crashed, incidentName(incidentNumber), List.copyOf(lostDigests));
        incidentNumber++;
        lostDigests.clear();
        return verdict;
    }

    /**
     * Explanation of the losses of one incident.
     *
     * @param crashed whether the engine crashed
     * @param incident the name of the incident, empty if no loss is explained
     * @param digests the content digests of the requests that were in flight
     */
    record Verdict(boolean crashed, String incident, List<String> digests) {}
}
