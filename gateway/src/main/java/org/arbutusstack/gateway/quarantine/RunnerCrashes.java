package org.arbutusstack.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.Strike;
import org.arbutusstack.wire.frame.LostRequestFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracker of the crashes of one runner: joins the requests that entries lost there, and turns them into strikes once
 * polls of the runner show that it crashed.
 *
 * <p>A broken connection alone is no crash: losses are dismissed if the same incarnation answers a poll that began
 * after them. Does no I/O; thread-safe.
 */
public final class RunnerCrashes {

    /** How long strikes, and the rules that follow from them, are remembered, in milliseconds. */
    static final long RETENTION_MILLIS = 3_600_000;

    private static final Logger logger = LoggerFactory.getLogger(RunnerCrashes.class);

    /** Limit on the keys of one crash; several times those of the requests that an engine holds. */
    private static final int MAX_KEYS_PER_CRASH = 512;

    /** Failed polls in a row after which a runner with losses counts as crashed, though none has shown a restart. */
    private static final int FAILED_POLLS_OF_CRASH = 2;

    /**
     * How long before a crash is noticed a request that its caller abandoned may have caused it, in milliseconds. The
     * crash of an idle server shows only by its restart, which takes some seconds.
     */
    private static final long ABANDONED_RETENTION_MILLIS = 5_000;

    private static final char INCIDENT_SEPARATOR = '@';

    private final String host;

    private final Clock clock;

    private final StrikeRelay strikes;

    /** When the lost requests were sent, by the keys of their content; of several requests, the last. */
    private final Map<String, Long> lostSentAtNanos = new HashMap<>();

    /** Requests that were cancelled since their callers left, by the keys of their content; of several, the last. */
    private final Map<String, Abandoned> abandonedByKey = new HashMap<>();

    /** Start time of the incarnation that the losses are of; that of the one that answered last if there are none. */
    private long observedIncarnation;

    private long firstLossAtNanos;

    private long lastLossAtNanos;

    private int failedPolls;

    /** Start time of the incarnation that crashed last; zero if none is known. */
    private long crashedIncarnation;

    private long crashedAtNanos;

    /**
     * Create a tracker without any loss.
     *
     * @param host the address of the host, which makes the identifiers of its crashes unique
     * @param clock the clock of the process
     */
    public RunnerCrashes(String host, Clock clock) {
        this.host = Assert.hasText(host, "host");
        this.clock = Assert.notNull(clock, "clock");
        this.strikes = new StrikeRelay(clock);
    }

    /**
     * Record a request that an entry lost before its answer was complete.
     *
     * @param frame the report of the entry
     * @return the strikes to send to all entries, if the crash of that incarnation is known already
     */
    public synchronized List<StrikeFrame> lost(LostRequestFrame frame) {
        long nowNanos = clock.nowNanos();
        long sentAtNanos = nowNanos - frame.sentAgoMillis() * Clock.NANOS_PER_MILLI;
        if (frame.startedAtMillis() == crashedIncarnation) {
            return strike(toMap(frame.keys(), sentAtNanos));
        }
        if (observedIncarnation == 0) {
            observedIncarnation = frame.startedAtMillis();
        } else if (frame.startedAtMillis() != observedIncarnation) {
            return List.of();
        }
        if (lostSentAtNanos.isEmpty()) {
            firstLossAtNanos = nowNanos;
            failedPolls = 0;
        }
        lastLossAtNanos = nowNanos;
        for (String key : frame.keys()) {
            if (lostSentAtNanos.size() < MAX_KEYS_PER_CRASH) {
                lostSentAtNanos.merge(key, sentAtNanos, Math::max);
            }
        }
        return List.of();
    }

    /**
     * Record a request that was cancelled since its caller left. It says nothing by itself, but the runner may run it
     * on and crash.
     *
     * @param frame the report of the entry
     * @return the strikes to send to all entries, if the crash of that incarnation is known already
     */
    public synchronized List<StrikeFrame> abandoned(LostRequestFrame frame) {
        long sentAtNanos = clock.deadlineNanos(-frame.sentAgoMillis());
        if (frame.startedAtMillis() == crashedIncarnation) {
            return strike(toMap(frame.keys(), sentAtNanos));
        }
        if (observedIncarnation == 0) {
            observedIncarnation = frame.startedAtMillis();
        }
        Abandoned abandoned = new Abandoned(sentAtNanos, clock.deadlineNanos(ABANDONED_RETENTION_MILLIS));
        abandonedByKey.values().removeIf(earlier -> clock.isPast(earlier.suspectUntilNanos()));
        for (String key : frame.keys()) {
            if (abandonedByKey.size() < MAX_KEYS_PER_CRASH) {
                abandonedByKey.put(key, abandoned);
            }
        }
        return List.of();
    }

    private static Map<String, Long> toMap(List<String> keys, long sentAtNanos) {
        Map<String, Long> sent = new HashMap<>();
        keys.forEach(key -> sent.put(key, sentAtNanos));
        return sent;
    }

    /** Return whether losses wait for a poll that explains them. */
    public synchronized boolean hasUnexplainedLoss() {
        return !lostSentAtNanos.isEmpty();
    }

    /**
     * Return whether a request was sent so long after a known crash that another incarnation must have run it.
     *
     * @param sentAgoMillis how long ago the request was sent, in milliseconds
     * @param restartMillis the least time that a restart takes, in milliseconds
     */
    public synchronized boolean isSentAfterRestart(long sentAgoMillis, long restartMillis) {
        return crashedIncarnation != 0 && clock.millisSince(crashedAtNanos) - sentAgoMillis >= restartMillis;
    }

    /** Return whether requests were abandoned so recently that they may have crashed the runner. */
    public synchronized boolean hasAbandoned() {
        abandonedByKey.values().removeIf(abandoned -> clock.isPast(abandoned.suspectUntilNanos()));
        return !abandonedByKey.isEmpty();
    }

    /**
     * Record that a poll of the runner failed.
     *
     * @return the strikes to send to all entries, if the failure shows that the runner crashed
     */
    public synchronized List<StrikeFrame> pollFailed() {
        failedPolls++;
        boolean isCrash = (hasUnexplainedLoss() || hasAbandoned()) && failedPolls >= FAILED_POLLS_OF_CRASH;
        return isCrash ? crashed() : List.of();
    }

    /** Record that a poll was answered, but not in a way that tells which incarnation answered. */
    public synchronized void pollUnreadable() {
        failedPolls = 0;
    }

    /**
     * Record the answer to a poll of the runner.
     *
     * @param startedAtMillis when the runner that answered started, in Unix milliseconds
     * @param polledAtNanos when the poll began
     * @return the frames to send to all entries: strikes, or the retraction of strikes if the runner had not crashed
     */
    public synchronized List<StrikeFrame> pollAnswered(long startedAtMillis, long polledAtNanos) {
        failedPolls = 0;
        if (startedAtMillis == crashedIncarnation) {
            return retractCrash();
        }
        if (startedAtMillis != observedIncarnation) {
            boolean isRestart = observedIncarnation != 0 && observedIncarnation != crashedIncarnation;
            List<StrikeFrame> frames = isRestart ? crashed() : List.of();
            observedIncarnation = startedAtMillis;
            return frames;
        }
        if (hasUnexplainedLoss() && polledAtNanos - lastLossAtNanos > 0) {
            logger.info(
                    "event=losses-dismissed started_at={} keys={}",
                    startedAtMillis,
                    String.join(",", lostSentAtNanos.keySet()));
            lostSentAtNanos.clear();
        }
        return List.of();
    }

    /**
     * Record that another incarnation runs at the address of the runner.
     *
     * @return the strikes to send to all entries, if requests were lost or abandoned
     */
    public synchronized List<StrikeFrame> replaced() {
        return hasUnexplainedLoss() || hasAbandoned() ? crashed() : List.of();
    }

    /** Record that the runner leaves as planned, so that its end will be no crash by what callers abandoned. */
    public synchronized void leaving() {
        abandonedByKey.clear();
    }

    private List<StrikeFrame> crashed() {
        crashedIncarnation = observedIncarnation;
        crashedAtNanos = hasUnexplainedLoss() ? firstLossAtNanos : clock.nowNanos();
        Map<String, Long> sent = new HashMap<>(lostSentAtNanos);
        if (hasAbandoned()) {
            abandonedByKey.forEach((key, abandoned) -> sent.merge(key, abandoned.sentAtNanos(), Math::max));
        }
        lostSentAtNanos.clear();
        abandonedByKey.clear();
        logger.warn("event=runner-crashed incident={} keys={}", incident(), String.join(",", sent.keySet()));
        return strike(sent);
    }

    private String incident() {
        return host + INCIDENT_SEPARATOR + crashedIncarnation;
    }

    private List<StrikeFrame> strike(Map<String, Long> sentAtNanosByKey) {
        List<StrikeFrame> frames = new ArrayList<>();
        long expiresAtNanos = clock.deadlineNanos(RETENTION_MILLIS);
        sentAtNanosByKey.forEach((key, sentAtNanos) -> {
            Strike strike = new Strike(key, incident(), sentAtNanos, crashedAtNanos, expiresAtNanos);
            if (strikes.add(strike)) {
                frames.add(strike.toFrame(clock));
            }
        });
        return frames;
    }

    private List<StrikeFrame> retractCrash() {
        logger.warn("event=crash-retracted incident={}", incident());
        String incident = incident();
        crashedIncarnation = 0;
        return strikes.withdrawAll(incident).stream()
                .map(key -> StrikeFrame.retraction(key, incident))
                .toList();
    }

    /**
     * Apply a strike or a retraction that an entry reports: strikes are those of servers without a side, which are kept
     * here so that all entries hear of them.
     *
     * @param frame the report
     * @return the frames to send to all entries; none if the report changes nothing
     */
    public synchronized List<StrikeFrame> received(StrikeFrame frame) {
        return strikes.received(frame) ? List.of(frame) : List.of();
    }

    /**
     * Withdraw the strikes of content, since a request with it was answered.
     *
     * @param key the key of the content
     * @return whether there were any, so that the other entries have to be told
     */
    public synchronized boolean clear(String key) {
        return strikes.clear(key);
    }

    /**
     * Return the strikes for an entry that has just connected.
     *
     * @return all strikes that have not expired
     */
    public synchronized List<StrikeFrame> remembered() {
        return strikes.remembered();
    }

    /**
     * Request that was cancelled since its caller left.
     *
     * @param sentAtNanos when it was sent, in nanoseconds of the clock of this process
     * @param suspectUntilNanos until when a crash that is noticed may be its fault, in nanoseconds of that clock
     */
    private record Abandoned(long sentAtNanos, long suspectUntilNanos) {}

    /** Return the host of an incident, whose side holds its strikes. */
    static String hostOf(String incident) {
        int separator = incident.indexOf(INCIDENT_SEPARATOR);
        return separator < 0 ? incident : incident.substring(0, separator);
    }
}
