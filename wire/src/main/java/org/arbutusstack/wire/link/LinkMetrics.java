package org.arbutusstack.wire.link;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.arbutusstack.wire.frame.FrameType;

/** Metrics of the links of a process. Thread-safe. */
final class LinkMetrics {

    private static final String TYPE = "type";

    private final Gauge open;

    private final Counter refused;

    private final Counter malformed;

    private final Counter sentFrames;

    private final Counter sentBytes;

    private final Counter receivedFrames;

    private final Counter receivedBytes;

    LinkMetrics(PrometheusRegistry registry) {
        this.open = Gauge.builder()
                .name("arbutus_links_open")
                .help("links whose peer is admitted")
                .register(registry);
        this.refused = counter(registry, "arbutus_links_refused_total", "connections whose peer was not admitted");
        this.malformed = counter(registry, "arbutus_link_malformed_total", "frames that could not be read");
        this.sentFrames = byType(registry, "arbutus_link_frames_sent_total", "frames sent by type");
        this.sentBytes = byType(registry, "arbutus_link_bytes_sent_total", "bytes sent by type of frame");
        this.receivedFrames = byType(registry, "arbutus_link_frames_received_total", "frames received by type");
        this.receivedBytes = byType(registry, "arbutus_link_bytes_received_total", "bytes received by type of frame");
    }

    private static Counter counter(PrometheusRegistry registry, String name, String help) {
        return Counter.builder().name(name).help(help).register(registry);
    }

    private static Counter byType(PrometheusRegistry registry, String name, String help) {
        return Counter.builder().name(name).help(help).labelNames(TYPE).register(registry);
    }

    void opened() {
        open.inc();
    }

    void closed(boolean wasAuthenticated) {
        if (wasAuthenticated) {
            open.dec();
        } else {
            refused.inc();
        }
    }

    void malformed() {
        malformed.inc();
    }

    void sent(FrameType type, int bytes) {
        String label = labelOf(type);
        sentFrames.labelValues(label).inc();
        sentBytes.labelValues(label).inc(bytes);
    }

    void received(FrameType type, int bytes) {
        String label = labelOf(type);
        receivedFrames.labelValues(label).inc();
        receivedBytes.labelValues(label).inc(bytes);
    }

    private static String labelOf(FrameType type) {
        return type.name().toLowerCase(Locale.ROOT);
    }
}
