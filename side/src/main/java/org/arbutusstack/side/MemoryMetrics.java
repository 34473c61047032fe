package org.arbutusstack.side;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.arbutusstack.placement.MemoryLedger;

/** Metrics of a side's orders to its engine and of the engine's memory. Thread-safe. */
final class MemoryMetrics {

    private final Counter orders;

    private final Gauge sizeMb;

    private final Gauge committedMb;

    private final Gauge proven;

    MemoryMetrics(PrometheusRegistry registry) {
        orders = Counter.builder()
                .name("arbutus_side_orders_total")
                .help("orders to the engine by kind and outcome")
                .labelNames("order", "outcome")
                .register(registry);
        sizeMb = gauge(registry, "arbutus_side_memory_size_mb", "accelerator memory in MiB");
        committedMb = gauge(registry, "arbutus_side_memory_committed_mb", "accelerator memory committed in MiB");
        proven = gauge(
                registry, "arbutus_side_memory_proven", "1 if earlier orders are proven past, so that it may load");
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }

    void orderSent(EngineOrder order) {
        count(order, "sent");
    }

    void orderEnded(EngineOrder order, boolean done) {
        count(order, done ? "done" : "failed");
    }

    private void count(EngineOrder order, String outcome) {
        orders.labelValues(order.kind().name().toLowerCase(Locale.ROOT), outcome)
                .inc();
    }

    void update(MemoryLedger ledger) {
        sizeMb.set(ledger.sizeMb());
        committedMb.set(ledger.committedMb());
        proven.set(ledger.isCommitPermitted() ? 1 : 0);
    }
}
