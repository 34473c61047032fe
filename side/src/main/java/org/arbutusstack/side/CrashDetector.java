package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.arbutusstack.kernel.Assert;

/**
 * Tells a crash of the engine from the loss of a connection, by what the engine reports of itself afterwards: its own
 * count of crashes, or that it lost all models. Does no I/O. Used by the side's duty only.
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
     * Learns that the engine was lost while it ran a request.
     *
     * @param digest the digest of the request's content
     * @param sentAtNanos when the request was sent
     * @param nowNanos the time
     * @return the name of the incident
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

    /** Tells whether a loss has not been explained. */
    boolean hasUnexplainedLoss() {
        return !lostDigests.isEmpty();
    }

    void loadRequested(long nowNanos) {
        loadRequestedAtNanos = nowNanos;
    }

    /**
     * Learns what the engine reports.
     *
     * @param load the report
     * @param nowNanos the time
     * @return what the losses before it were
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
     * Explains losses.
     *
     * @param crashed whether the engine crashed
     * @param incident the name of the incident
     * @param digests the requests that were in flight
     */
    record Verdict(boolean crashed, String incident, List<String> digests) {}
}
