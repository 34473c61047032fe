package org.arbutusstack.side;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the outcome of work on a side. Thread-safe. */
final class WorkMetrics {

    private final Counter ended;

    private final Counter refusedByFullRing;

    private final Counter brokenAnswers;

    WorkMetrics(PrometheusRegistry registry) {
        this.ended = Counter.builder()
                .name("arbutus_side_work_total")
                .help("Requests that ended at the side, by outcome and reason")
                .labelNames("outcome", "reason")
                .register(registry);
        this.refusedByFullRing = Counter.builder()
                .name("arbutus_side_ring_refused_total")
                .help("Requests refused because the side's ring was full")
                .register(registry);
        this.brokenAnswers = Counter.builder()
                .name("arbutus_side_answers_broken_total")
                .help("Answers given up because the side's ring was full or the backend server went silent")
                .register(registry);
    }

    void ended(String outcome, String reason) {
        ended.labelValues(outcome, reason).inc();
    }

    void refusedByFullRing() {
        refusedByFullRing.inc();
    }

    void answerBroken() {
        brokenAnswers.inc();
    }
}
