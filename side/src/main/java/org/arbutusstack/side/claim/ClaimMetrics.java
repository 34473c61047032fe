package org.arbutusstack.side.claim;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;

/** Counts claims and the calls that they cost the key-value service. Safe for use by any thread. */
public final class ClaimMetrics {

    private final Counter claims;

    private final Counter calls;

    private final Counter dropped;

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
        this.calls = Counter.builder()
                .name("arbutus_claim_store_calls_total")
                .help("Calls on the key-value service for claims")
                .labelNames("kind")
                .register(registry);
        this.dropped = Counter.builder()
                .name("arbutus_claim_outcomes_dropped_total")
                .help("Outcomes of claimed calls that were not recorded")
                .register(registry);
    }

    void settled(ClaimResult result) {
        claims.labelValues(result.getClass().getSimpleName().toLowerCase(Locale.ROOT))
                .inc();
    }

    void read() {
        calls.labelValues("read").inc();
    }

    void write() {
        calls.labelValues("write").inc();
    }

    void outcomeDropped() {
        dropped.inc();
    }
}
