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
final class CrashWatch {

    private static final long UNKNOWN = -1;

    private final String incarnation;

    private final Set<String> lost = new LinkedHashSet<>();

    private long incidentNumber = 1;

    private long lastLossNanos;

    private long askedAtNanos;

    private long crashSeenAtNanos;

    private boolean crashSeen;

    private long crashes = UNKNOWN;

    private boolean heldModels;

    CrashWatch(String incarnation) {
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
    String lost(String digest, long sentAtNanos, long nowNanos) {
        if (crashSeen && sentAtNanos - crashSeenAtNanos < 0) {
            return name(incidentNumber - 1);
        }
        lost.add(digest);
        lastLossNanos = nowNanos;
        return name(incidentNumber);
    }

    private String name(long number) {
        return incarnation + '-' + number;
    }

    /** Tells whether a loss has not been explained. */
    boolean isUncertain() {
        return !lost.isEmpty();
    }

    void asked(long nowNanos) {
        askedAtNanos = nowNanos;
    }

    /**
     * Learns what the engine reports.
     *
     * @param load the report
     * @param nowNanos the time
     * @return what the losses before it were
     */
    Verdict reported(JsonNode load, long nowNanos) {
        long reportedCrashes = load.path("crashes").asLong(UNKNOWN);
        boolean holdsModels = load.path("models").size() > 0;
        boolean crashed = reportedCrashes == UNKNOWN
                ? heldModels && !holdsModels
                : crashes != UNKNOWN && reportedCrashes > crashes;
        crashes = reportedCrashes;
        heldModels = holdsModels;
        if (crashed) {
            crashSeen = true;
            crashSeenAtNanos = nowNanos;
            return explained(true);
        }
        boolean askedSince = askedAtNanos - lastLossNanos > 0;
        return lost.isEmpty() || !askedSince ? new Verdict(false, "", List.of()) : explained(false);
    }

    private Verdict explained(boolean crashed) {
        Verdict verdict = new Verdict(crashed, name(incidentNumber), List.copyOf(lost));
        incidentNumber++;
        lost.clear();
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
