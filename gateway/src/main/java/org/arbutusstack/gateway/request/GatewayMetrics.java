package org.arbutusstack.gateway.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.OptionalLong;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.model.request.RefusalReason;

/** Metrics of the requests of callers. Safe for use by any thread. */
public final class GatewayMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double MILLIS_PER_SECOND = 1e3;

    private static final String SERVICE = "service";

    private final Counter outcomes;

    private final Counter retries;

    private final Counter lost;

    private final Counter lostContentSent;

    private final Counter limitedSends;

    private final Counter zoneSends;

    private final ZoneLabels zoneLabels = new ZoneLabels();

    private final Counter badInput;

    private final Histogram firstByte;

    private final Gauge inFlight;

    private final Gauge waiting;

    private final Gauge heldAnswerBytes;

    private final RoomMetrics room;

    private final Counter teamOutcomes;

    private final Gauge configAge;

    private final TeamLabels teamLabels = new TeamLabels();

    /**
     * Create and register the metrics.
     *
     * @param registry the registry of the process
     */
    public GatewayMetrics(PrometheusRegistry registry) {
        outcomes = Counter.builder()
                .name("arbutus_gateway_requests_total")
                .help("requests of callers by service, kind of route and outcome")
                .labelNames(SERVICE, "kind", "outcome")
                .register(registry);
        retries = Counter.builder()
                .name("arbutus_gateway_retries_total")
                .help("attempts after the first by service and reason")
                .labelNames(SERVICE, "reason")
                .register(registry);
        lost = Counter.builder()
                .name("arbutus_gateway_attempts_lost_total")
                .help("attempts whose connection ended without a complete answer, by whether the answer had begun")
                .labelNames(SERVICE, "begun")
                .register(registry);
        lostContentSent = Counter.builder()
                .name("arbutus_gateway_lost_content_sent_total")
                .help("attempts of requests with the same content as one that was lost before, by service")
                .labelNames(SERVICE)
                .register(registry);
        limitedSends = Counter.builder()
                .name("arbutus_gateway_limited_sends_total")
                .help("requests sent to runners that have named a limit, by service")
                .labelNames(SERVICE)
                .register(registry);
        zoneSends = Counter.builder()
                .name("arbutus_gateway_zone_sends_total")
                .help("requests sent by zone of the runner and reason to stay or leave, if a penalty is set")
                .labelNames("zone", "reason")
                .register(registry);
        badInput = Counter.builder()
                .name("arbutus_gateway_bad_input_total")
                .help("requests refused before they were routed, by reason")
                .labelNames("reason")
                .register(registry);
        firstByte = Histogram.builder()
                .name("arbutus_gateway_first_byte_seconds")
                .help("time from the arrival of a request to the first byte of its answer")
                .labelNames(SERVICE, "kind")
                .classicOnly()
                .register(registry);
        inFlight = Gauge.builder()
                .name("arbutus_gateway_requests_in_hand")
                .help("requests that are not answered yet")
                .register(registry);
        waiting = Gauge.builder()
                .name("arbutus_gateway_requests_waiting")
                .help("requests that wait for a model or an adapter")
                .register(registry);
        room = new RoomMetrics(registry);
        heldAnswerBytes = Gauge.builder()
                .name("arbutus_gateway_held_answer_bytes")
                .help("size of the long answers that are held until they can be relayed")
                .register(registry);
        teamOutcomes = Counter.builder()
                .name("arbutus_gateway_team_requests_total")
                .help("requests of callers with a key by team and outcome")
                .labelNames("team", "outcome")
                .register(registry);
        configAge = Gauge.builder()
                .name("arbutus_gateway_config_age_seconds")
                .help("age of what is known of the configuration if it has teams; -1 if unknown")
                .register(registry);
    }

    void recordOutcome(InboundRequest request, String outcome) {
        outcomes.labelValues(request.service(), kindOf(request), outcome).inc();
        request.team()
                .ifPresent(team ->
                        teamOutcomes.labelValues(teamLabels.of(team), outcome).inc());
    }

    void recordFirstByte(InboundRequest request, long nowNanos) {
        firstByte
                .labelValues(request.service(), kindOf(request))
                .observe((nowNanos - request.arrivedNanos()) / NANOS_PER_SECOND);
    }

    private static String kindOf(InboundRequest request) {
        return request.route().kind().name().toLowerCase(Locale.ROOT);
    }

    void countRetry(InboundRequest request, RefusalReason reason) {
        retries.labelValues(request.service(), reason.label()).inc();
    }

    void countLost(InboundRequest request, boolean begun) {
        lost.labelValues(request.service(), Boolean.toString(begun)).inc();
    }

    void countSend(ActiveRequest active, KnownRunner runner) {
        if (runner.limit().isActive()) {
            limitedSends.labelValues(active.request().service()).inc();
        }
        if (active.zoneReason() != null) {
            String zone = zoneLabels.label(runner.entry().zone());
            zoneSends.labelValues(zone, active.zoneReason().label()).inc();
        }
    }

    RoomMetrics room() {
        return room;
    }

    void countLostContentSent(InboundRequest request) {
        lostContentSent.labelValues(request.service()).inc();
    }

    /**
     * Count a request that was refused before it was routed.
     *
     * @param reason the reason of the refusal
     */
    public void badInput(RefusalReason reason) {
        badInput.labelValues(reason.label()).inc();
    }

    /**
     * Update the age of the known configuration.
     *
     * @param ageMillis the age in milliseconds; empty if it is unknown
     */
    public void updateConfigAge(OptionalLong ageMillis) {
        configAge.set(ageMillis.isPresent() ? ageMillis.getAsLong() / MILLIS_PER_SECOND : -1);
    }

    void updateHeldAnswers(long bytes) {
        heldAnswerBytes.set(bytes);
    }

    void updateInFlight(int count, int waitingCount) {
        inFlight.set(count);
        waiting.set(waitingCount);
    }
}
