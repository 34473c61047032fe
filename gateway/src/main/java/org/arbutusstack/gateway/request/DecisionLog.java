package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.kernel.log.LogThrottle;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Log of the decisions on each request, at a limited rate. Safe for use by any thread. */
final class DecisionLog {

    private static final Logger logger = LoggerFactory.getLogger(DecisionLog.class);

    /** Lines per second: as many as one entry refuses when the peak load of the given deployments is refused. */
    private static final int LINES_PER_SECOND = 100;

    private final Clock clock;

    private final LogThrottle throttle;

    DecisionLog(Clock clock) {
        this.clock = clock;
        this.throttle = new LogThrottle(clock, LINES_PER_SECOND);
    }

    static String describe(ActiveRequest active) {
        InboundRequest request = active.request();
        return "request=" + request.id() + " route=" + request.route().name() + " service=" + request.service()
                + " model=" + request.model() + " adapter=" + request.adapter() + " sends=" + active.sends()
                + request.team().map(team -> " team=" + team.name()).orElse("")
                + (active.zoneReason() == null
                        ? ""
                        : " zone_reason=" + active.zoneReason().label());
    }

    private static String stateOf(KnownRunner runner) {
        if (runner == null) {
            return "runner=none";
        }
        RunnerStatusFrame status = runner.status();
        String load = status == null ? "status=none" : "queued=" + status.queued() + " running=" + status.running();
        return "runner=" + runner.entry().id() + " outstanding=" + runner.outstanding() + " " + load;
    }

    void sent(ActiveRequest active, KnownRunner runner) {
        if (logger.isDebugEnabled()) {
            logger.debug("event=sent {} {}", describe(active), stateOf(runner));
        }
    }

    /** Count a stream whose first event or longest gap exceeded its target, and log it with its timing. */
    void answered(ActiveRequest active, GatewayMetrics metrics) {
        boolean late = active.request().route().kind().isStreaming()
                && active.progress().isLate();
        if (late) {
            metrics.room().countLateStream(active.request(), active.progress().isFirstEventLate());
        }
        if (late && throttle.tryAcquire()) {
            KnownRunner runner =
                    active.attempt() == null ? null : active.attempt().runner();
            logger.info(
                    "event=late {} {} {} sent_after_ms={}",
                    describe(active),
                    stateOf(runner),
                    active.progress().describe(),
                    sentAfterMillis(active));
        }
    }

    /** Return how long the request was held before its last attempt, in milliseconds. */
    private static long sentAfterMillis(ActiveRequest active) {
        long arrivedNanos = active.request().arrivedNanos();
        return active.attempt() == null ? 0 : (active.attempt().sentAtNanos() - arrivedNanos) / Clock.NANOS_PER_MILLI;
    }

    /** Log an attempt whose connection ended without a complete answer, with what it had in common with others. */
    void lost(ActiveRequest active, CurrentAttempt attempt) {
        if (throttle.tryAcquire()) {
            InboundRequest request = active.request();
            logger.info(
                    "event=attempt-lost {} {} started_at={} begun={} sent_ms={} content={} parts={}",
                    describe(active),
                    stateOf(attempt.runner()),
                    attempt.runner().entry().startedAtMillis(),
                    attempt.isBegun(),
                    (clock.nowNanos() - attempt.sentAtNanos()) / Clock.NANOS_PER_MILLI,
                    active.requestKey(),
                    String.join(",", request.sharedParts()));
        }
    }

    /** Log that a runner said in an answer that it leaves. */
    void leaving(KnownRunner runner) {
        logger.info("event=runner-leaving cause=answer {}", stateOf(runner));
    }

    void retried(ActiveRequest active, KnownRunner runner, Refusal refusal) {
        if (throttle.tryAcquire()) {
            logger.info(
                    "event=retry {} {} kind={} reason={} detail=\"{}\"",
                    describe(active),
                    stateOf(runner),
                    refusal.kind().label(),
                    refusal.reason().label(),
                    refusal.detail());
        }
    }

    void refused(ActiveRequest active, Refusal reported) {
        if (throttle.tryAcquire()) {
            InboundRequest request = active.request();
            long heldMillis = (clock.nowNanos() - request.arrivedNanos()) / Clock.NANOS_PER_MILLI;
            logger.info(
                    "event=refused {} kind={} reason={} opened={} events={} held_ms={} left_ms={} dropped={}"
                            + " detail=\"{}\"",
                    describe(active),
                    reported.kind().label(),
                    reported.reason().label(),
                    active.isOpened(),
                    active.events().count(),
                    heldMillis,
                    clock.millisUntil(request.deadlineNanos()),
                    throttle.takeSuppressed(),
                    reported.detail());
        }
    }

    void callerDisconnected(ActiveRequest active) {
        if (throttle.tryAcquire()) {
            KnownRunner runner = active.attempt() == null
                    ? active.adapterRunner()
                    : active.attempt().runner();
            long heldMillis = (clock.nowNanos() - active.request().arrivedNanos()) / Clock.NANOS_PER_MILLI;
            logger.info(
                    "event=caller-gone {} {} sent={} opened={} events={} held_ms={}",
                    describe(active),
                    stateOf(runner),
                    active.attempt() != null,
                    active.isOpened(),
                    active.events().count(),
                    heldMillis);
        }
    }
}
