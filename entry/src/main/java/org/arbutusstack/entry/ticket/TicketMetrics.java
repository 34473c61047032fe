package org.arbutusstack.entry.ticket;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.ledger.AcceptResult;
import org.arbutusstack.ledger.LogReplica;

/** Metrics of submitted tickets and of the sequence that the ticket log has reached. Thread-safe. */
public final class TicketMetrics {

    private final Counter tickets;

    private final Counter compactions;

    /**
     * Register the metrics.
     *
     * @param registry the metrics registry of the process
     * @param replica the local replica of the ticket log
     */
    public TicketMetrics(PrometheusRegistry registry, LogReplica replica) {
        Assert.notNull(registry, "registry");
        tickets = Counter.builder()
                .name("arbutus_tickets_total")
                .help("Tickets submitted here")
                .labelNames("result")
                .register(registry);
        compactions = Counter.builder()
                .name("arbutus_log_compactions_total")
                .help("Tries to compact the ticket log")
                .labelNames("result")
                .register(registry);
        Gauge sequence = Gauge.builder()
                .name("arbutus_log_sequence")
                .help("Sequence of the ticket log in force here")
                .register(registry);
        replica.addListener(state -> sequence.set(state.sequence()));
    }

    void submitted(AcceptResult result) {
        tickets.labelValues(labelOf(result)).inc();
    }

    private static String labelOf(AcceptResult result) {
        return result instanceof AcceptResult.Refused refused
                ? refused.reason().label()
                : result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    }

    void compacted(boolean isDone) {
        compactions.labelValues(isDone ? "done" : "not_done").inc();
    }
}
