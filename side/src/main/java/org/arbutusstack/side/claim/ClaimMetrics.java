package org.arbutusstack.side.claim;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;

/** Metrics of claims and of the calls to the key-value service that they cause. Thread-safe. */
public final class ClaimMetrics {

    private final Counter claims;

    private final Counter storeCalls;

    private final Counter droppedOutcomes;

    /**
     * Create and register the metrics.
     *
     * @param registry the registry for the metrics
     */
    public ClaimMetrics(PrometheusRegistry registry) {
        this.claims = Counter.builder()
                .name("arbutus_claims_total")
                .help("Claims of calls that may not be repeated, by result")
                .labelNames("result")
                .register(registry);
        this.storeCalls = Counter.builder()
                .name("arbutus_claim_store_calls_total")
                .help("Calls on the key-value service for claims")
                .labelNames("kind")
                .register(registry);
        this.droppedOutcomes = Counter.builder()
                .name("arbutus_claim_outcomes_dropped_total")
                .help("Outcomes of claimed calls that were not recorded")
                .register(registry);
    }

    void settled(ClaimResult result) {
        claims.labelValues(result.getClass().getSimpleName().toLowerCase(Locale.ROOT))
                .inc();
    }

    void read() {
        storeCalls.labelValues("read").inc();
    }

    void write() {
        storeCalls.labelValues("write").inc();
    }

    void outcomeDropped() {
        droppedOutcomes.inc();
    }
}
