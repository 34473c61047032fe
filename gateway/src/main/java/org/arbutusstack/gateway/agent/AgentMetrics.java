package org.arbutusstack.gateway.agent;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;

/** Metrics of a runner agent. Safe for use by any thread. */
final class AgentMetrics {

    private final Counter orders;

    private final Counter restarts;

    private final Counter permits;

    private final Counter allotmentGrants;

    AgentMetrics(PrometheusRegistry registry) {
        this.orders = Counter.builder()
                .name("arbutus_attendant_orders_total")
                .help("orders given to the runner by outcome")
                .labelNames("outcome")
                .register(registry);
        this.restarts = Counter.builder()
                .name("arbutus_attendant_runner_restarts_total")
                .help("restarts of the runner seen since this process started")
                .register(registry);
        this.permits = Counter.builder()
                .name("arbutus_attendant_permits_total")
                .help("permits requested by entries for backend servers that limit their requests")
                .labelNames("granted")
                .register(registry);
        this.allotmentGrants = Counter.builder()
                .name("arbutus_attendant_allotment_grants_total")
                .help("answers to entries that asked for tokens of a team's allotment, by whether they got any")
                .labelNames("granted")
                .register(registry);
    }

    void countOrder(OrderOutcome outcome) {
        orders.labelValues(outcome.name().toLowerCase(Locale.ROOT)).inc();
    }

    void countRestart() {
        restarts.inc();
    }

    void countAllotmentGrant(boolean granted) {
        allotmentGrants.labelValues(Boolean.toString(granted)).inc();
    }

    void countPermit(boolean granted) {
        permits.labelValues(Boolean.toString(granted)).inc();
    }
}
