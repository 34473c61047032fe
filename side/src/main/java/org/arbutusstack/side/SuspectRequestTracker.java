package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.routing.PromptMessages;
import org.arbutusstack.routing.Strike;
import org.arbutusstack.routing.StrikeRegistry;
import org.arbutusstack.routing.SuspectContent;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracker of the strikes of requests that were in flight when an engine was lost, which reports them to the entries.
 * Confined to the side's event loop.
 */
final class SuspectRequestTracker {

    /** The refusal of a quarantined request. */
    static final Refusal QUARANTINED =
            Refusal.rejected(RefusalReason.QUARANTINED, "engines were lost while they ran requests with this content");

    /** The maximum number of requests, and of messages, with strikes. */
    static final int MAX_KEYS = 10_000;

    private static final Logger logger = LoggerFactory.getLogger(SuspectRequestTracker.class);

    /**
     * How long strikes of messages are remembered at most. Requests with a refused message never run, so that nothing
     * but time corrects a mistake.
     */
    private static final long MAX_MESSAGE_RETENTION_MILLIS = 600_000;

    private final Clock clock;

    private final long retentionMillis;

    private final Consumer<Frame> broadcast;

    private final SuspectContent suspects = new SuspectContent(MAX_KEYS);

    private final CrashDetector crashDetector;

    private final Counter strikes;

    private final Counter crashes;

    SuspectRequestTracker(
            String incarnation,
            Clock clock,
            long retentionMillis,
            Consumer<Frame> broadcast,
            PrometheusRegistry metrics) {
        this.clock = Assert.notNull(clock, "clock");
        this.retentionMillis = Assert.atLeast(retentionMillis, 1, "retentionMillis");
        this.broadcast = Assert.notNull(broadcast, "broadcast");
        this.crashDetector = new CrashDetector(incarnation);
        this.strikes = Counter.builder()
                .name("arbutus_side_strikes_total")
                .help("Requests that were in flight when the engine was lost")
                .register(metrics);
        this.crashes = Counter.builder()
                .name("arbutus_side_engine_crashes_total")
                .help("Crashes of the engine seen by the side")
                .register(metrics);
    }

    private static String digestOf(WorkFrame frame) {
        return StrikeRegistry.digestOf(frame.model(), frame.adapter(), frame.body());
    }

    boolean isSuspect(WorkItem work) {
        return mayHaveStrike(work.frame()) && suspects.requests().isSuspect(digestOf(work.frame()), clock.nowNanos());
    }

    boolean isRefused(WorkItem work) {
        if (!mayHaveStrike(work.frame())) {
            return false;
        }
        return suspects.requests().isRefused(digestOf(work.frame()), clock.nowNanos())
                || suspects.messageRule(work.frame().body(), clock.nowNanos()).isPresent();
    }

    private boolean mayHaveStrike(WorkFrame frame) {
        return !suspects.isEmpty() && !frame.model().isEmpty();
    }

    int size() {
        return suspects.requests().size();
    }

    /** Return whether a loss is unexplained, so that no request is sent to the engine until it has reported. */
    boolean hasUnexplainedLoss() {
        return crashDetector.hasUnexplainedLoss();
    }

    /**
     * Add a strike to a request whose connection broke while the engine ran it, and report the strike to the entries.
     */
    void engineLost(WorkItem work) {
        if (work.frame().model().isEmpty()) {
            return;
        }
        strike(work, digestOf(work.frame()));
        if (!work.isAnswerBegun()) {
            PromptMessages.keysOf(work.frame().body()).forEach(key -> strike(work, key));
        }
    }

    private void strike(WorkItem work, String key) {
        long nowNanos = clock.nowNanos();
        String incident = crashDetector.connectionLost(key, work.dispatchedAtNanos(), nowNanos);
        long keptMillis =
                PromptMessages.isKey(key) ? Math.min(retentionMillis, MAX_MESSAGE_RETENTION_MILLIS) : retentionMillis;
        Strike strike = new Strike(key, incident, work.dispatchedAtNanos(), nowNanos, clock.deadlineNanos(keptMillis));
        if (suspects.add(strike)) {
            strikes.inc();
            logger.warn(
                    "event=strike key={} incident={} request={}",
                    key,
                    incident,
                    work.frame().id());
            broadcast.accept(strike.toFrame(clock));
        }
    }

    /** Withdraw the strikes of messages that a request shares with others, once its answer begins. */
    void answerBegun(WorkItem work) {
        if (mayHaveStrike(work.frame())) {
            suspects.answerBegun(work.frame().body()).forEach(broadcast);
        }
    }

    /** Clear the strikes of a request that was answered completely while it ran alone. */
    void completed(WorkItem work) {
        if (work.isExclusive()) {
            String digest = digestOf(work.frame());
            suspects.requests().clear(digest);
            broadcast.accept(StrikeFrame.retraction(digest, ""));
        }
    }

    void handleStrike(StrikeFrame frame) {
        if (frame.valid()) {
            suspects.add(Strike.of(frame, clock).expiringBy(clock.deadlineNanos(retentionMillis)));
        } else if (suspects.retract(frame) && PromptMessages.isKey(frame.key())) {
            // The entry that saw the answer knows its own sides; the other entries know only this one.
            broadcast.accept(frame);
        }
    }

    /** Send all strikes to a newly connected peer. */
    void sendStrikes(Link link) {
        suspects.frames(clock).forEach(link::send);
    }

    void loadRequested() {
        crashDetector.loadRequested(clock.nowNanos());
    }

    void loadReported(JsonNode load) {
        CrashDetector.Verdict verdict = crashDetector.loadReported(load, clock.nowNanos());
        if (verdict.crashed()) {
            crashes.inc();
            logger.warn(
                    "event=engine-crashed incident={} suspects={}",
                    verdict.incident(),
                    verdict.digests().size());
            return;
        }
        for (String key : verdict.digests()) {
            StrikeFrame retraction = StrikeFrame.retraction(key, verdict.incident());
            suspects.retract(retraction);
            broadcast.accept(retraction);
        }
    }
}
