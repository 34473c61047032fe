package org.arbutusstack.entry.router;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/** Metrics of requests and of the links to the sides. Thread-safe. */
public final class RouterMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Counter answers;

    private final Counter refusals;

    private final Counter retries;

    private final Counter retriesDenied;

    private final Counter cancelled;

    private final Counter linksClosed;

    private final Counter ringFull;

    private final Gauge inFlight;

    private final Histogram refuseSeconds;

    private final Histogram answerSeconds;

    /**
     * Register the metrics.
     *
     * @param registry the metrics registry of the process
     */
    public RouterMetrics(PrometheusRegistry registry) {
        Assert.notNull(registry, "registry");
        answers = counter(registry, "arbutus_entry_answers_total", "Requests answered whole", "priority");
        refusals = counter(registry, "arbutus_entry_refusals_total", "Requests refused", "kind", "reason");
        retries = counter(registry, "arbutus_entry_retries_total", "Attempts after the first", "reason");
        retriesDenied = counter(registry, "arbutus_entry_retries_denied_total", "Retries that the budget denied");
        cancelled = counter(registry, "arbutus_entry_cancelled_total", "Requests whose caller went away");
        linksClosed = counter(registry, "arbutus_entry_links_closed_total", "Links given up", "cause");
        ringFull = counter(registry, "arbutus_entry_ring_full_total", "Messages that found the ring full", "message");
        inFlight = Gauge.builder()
                .name("arbutus_entry_requests_in_hand")
                .help("Requests in hand")
                .register(registry);
        refuseSeconds = histogram(registry, "arbutus_entry_refuse_seconds", "Time to refuse", "kind");
        answerSeconds = histogram(registry, "arbutus_entry_answer_seconds", "Time to the whole answer", "priority");
    }

    private static Counter counter(PrometheusRegistry registry, String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private static Histogram histogram(PrometheusRegistry registry, String name, String help, String label) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .classicOnly()
                .register(registry);
    }

    void answered(Priority priority, long nanos) {
        answers.labelValues(priority.name()).inc();
        answerSeconds.labelValues(priority.name()).observe(nanos / NANOS_PER_SECOND);
    }

    void refused(Refusal refusal, long nanos) {
        refusals.labelValues(refusal.kind().label(), refusal.reason().label()).inc();
        refuseSeconds.labelValues(refusal.kind().label()).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Count a refusal of a call that was not accepted as a request.
     *
     * @param refusal the refusal sent to the caller
     */
    public void refusedOnEntry(Refusal refusal) {
        refusals.labelValues(refusal.kind().label(), refusal.reason().label()).inc();
    }

    void retried(RefusalReason reason) {
        retries.labelValues(reason.label()).inc();
    }

    void retryDenied() {
        retriesDenied.inc();
    }

    void callerDisconnected() {
        cancelled.inc();
    }

    void linkClosed(String cause) {
        linksClosed.labelValues(cause).inc();
    }

    void ringFull(String message) {
        ringFull.labelValues(message).inc();
    }

    void inFlight(int count) {
        inFlight.set(count);
    }
}
