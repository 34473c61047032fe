package org.arbutusstack.gateway.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of streams that exceed a target and of requests that are held so that none does. Safe for any thread. */
final class RoomMetrics {

    private final Counter lateStreams;

    private final Counter heldForRoom;

    RoomMetrics(PrometheusRegistry registry) {
        lateStreams = Counter.builder()
                .name("arbutus_gateway_late_streams_total")
                .help("complete streams that exceeded a target, by service and whether first_event or gap did")
                .labelNames("service", "cause")
                .register(registry);
        heldForRoom = Counter.builder()
                .name("arbutus_gateway_held_for_room_total")
                .help("requests that were held since their prompts would have delayed running streams, by service")
                .labelNames("service")
                .register(registry);
    }

    void countLateStream(InboundRequest request, boolean isFirstEventLate) {
        lateStreams
                .labelValues(request.service(), isFirstEventLate ? "first_event" : "gap")
                .inc();
    }

    void countHeldForRoom(InboundRequest request) {
        heldForRoom.labelValues(request.service()).inc();
    }
}
