package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.routing.Strike;
import org.arbutusstack.routing.StrikeRegistry;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the strikes of requests that were in flight when an engine was lost, and tells the entries of them. Used by the
 * side's duty only.
 */
final class SuspectDesk {

    /** Refuses a request with as many strikes as that takes. */
    static final Refusal QUARANTINED = Refusal.rejected(
            RefusalReason.QUARANTINED, "two engines were lost while they ran a request with this content");

    /** The digests held at once. */
    static final int MOST_DIGESTS = 10_000;

    private static final Logger logger = LoggerFactory.getLogger(SuspectDesk.class);

    private final Clock clock;

    private final long keepMillis;

    private final Consumer<Frame> broadcast;

    private final StrikeRegistry book = new StrikeRegistry(MOST_DIGESTS);

    private final CrashWatch watch;

    private final Counter strikes;

    private final Counter crashes;

    SuspectDesk(
            String incarnation, Clock clock, long keepMillis, Consumer<Frame> broadcast, PrometheusRegistry metrics) {
        this.clock = Assert.notNull(clock, "clock");
        this.keepMillis = Assert.atLeast(keepMillis, 1, "keepMillis");
        this.broadcast = Assert.notNull(broadcast, "broadcast");
        this.watch = new CrashWatch(incarnation);
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

    boolean isSuspect(Work work) {
        return isTracked(work.frame()) && book.isSuspect(digestOf(work.frame()), clock.nowNanos());
    }

    boolean isRefused(Work work) {
        return isTracked(work.frame()) && book.isRefused(digestOf(work.frame()), clock.nowNanos());
    }

    private boolean isTracked(WorkFrame frame) {
        return !book.isEmpty() && !frame.model().isEmpty();
    }

    int size() {
        return book.size();
    }

    /** Tells whether nothing is to be sent to the engine until it has reported. */
    boolean isUncertain() {
        return watch.isUncertain();
    }

    /** Learns that the connection broke while the engine ran a request. */
    void lost(Work work) {
        if (work.frame().model().isEmpty()) {
            return;
        }
        long nowNanos = clock.nowNanos();
        String digest = digestOf(work.frame());
        String incident = watch.lost(digest, work.dispatchedAtNanos(), nowNanos);
        if (book.add(new Strike(digest, incident, clock.deadlineNanos(keepMillis)))) {
            strikes.inc();
            logger.warn(
                    "event=strike digest={} incident={} request={}",
                    digest,
                    incident,
                    work.frame().id());
            broadcast.accept(new StrikeFrame(digest, incident, true, keepMillis));
        }
    }

    /** Learns that a request was answered whole; one that ran alone is cleared. */
    void completed(Work work) {
        if (work.isAlone()) {
            String digest = digestOf(work.frame());
            book.clear(digest);
            broadcast.accept(new StrikeFrame(digest, "", false, 0));
        }
    }

    void told(StrikeFrame frame) {
        if (frame.valid()) {
            long expiresAtNanos = clock.deadlineNanos(Math.min(keepMillis, frame.leftMillis()));
            book.add(new Strike(frame.digest(), frame.incident(), expiresAtNanos));
        } else if (frame.incident().isEmpty()) {
            book.clear(frame.digest());
        } else {
            book.withdraw(frame.digest(), frame.incident());
        }
    }

    /** Tells a peer that has just come all strikes. */
    void tell(Link link) {
        for (Strike strike : book.all(clock.nowNanos())) {
            long leftMillis = clock.millisUntil(strike.expiresAtNanos());
            link.send(new StrikeFrame(strike.digest(), strike.incident(), true, leftMillis));
        }
    }

    void loadAsked() {
        watch.asked(clock.nowNanos());
    }

    void loadReported(JsonNode load) {
        CrashWatch.Verdict verdict = watch.reported(load, clock.nowNanos());
        if (verdict.crashed()) {
            crashes.inc();
            logger.warn(
                    "event=engine-crashed incident={} suspects={}",
                    verdict.incident(),
                    verdict.digests().size());
            return;
        }
        for (String digest : verdict.digests()) {
            book.withdraw(digest, verdict.incident());
            broadcast.accept(new StrikeFrame(digest, verdict.incident(), false, 0));
        }
    }
}
