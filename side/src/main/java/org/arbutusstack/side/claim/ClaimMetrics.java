package org.arbutusstack.side.claim;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;

/** Counts claims and the calls that they cost the key-value service. Safe for use by any thread. */
public final class ClaimMetrics {

    private final Counter claims;

    private final Counter storeCalls;

    private final Counter droppedOutcomes;

    /**
     * Creates the metrics.
     *
     * @param registry where they are registered
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
