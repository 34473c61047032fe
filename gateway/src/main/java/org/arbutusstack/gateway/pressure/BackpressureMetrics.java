package org.arbutusstack.gateway.pressure;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the bytes held and of the decisions on them. Safe for use by any thread. */
final class BackpressureMetrics {

    private final Gauge heldBytes;

    private final Counter decisions;

    BackpressureMetrics(PrometheusRegistry registry) {
        heldBytes = Gauge.builder()
                .name("arbutus_gateway_held_bytes")
                .help("bytes held for callers and runners, by kind; see arbutus_gateway_backpressure_total")
                .labelNames("kind")
                .register(registry);
        decisions = Counter.builder()
                .name("arbutus_gateway_backpressure_total")
                .help("bodies refused, and uploads, answers and attempts ended, by cause")
                .labelNames("cause")
                .register(registry);
    }

    void update(MemoryAccount account) {
        for (HoldingKind kind : HoldingKind.values()) {
            heldBytes.labelValues(kind.label()).set(account.bytesOf(kind));
        }
    }

    void countDecision(String cause) {
        decisions.labelValues(cause).inc();
    }
}
