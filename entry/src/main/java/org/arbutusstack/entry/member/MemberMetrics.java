package org.arbutusstack.entry.member;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.arbutusstack.kernel.Assert;

/** Metrics of the members and of the links between entries. Thread-safe. */
public final class MemberMetrics {

    private final Counter implausibleLists;

    private final Counter ringFull;

    private final Gauge members;

    private final Gauge peers;

    private final Gauge relay;

    /**
     * Register the metrics.
     *
     * @param registry the metrics registry of the process
     */
    public MemberMetrics(PrometheusRegistry registry) {
        Assert.notNull(registry, "registry");
        implausibleLists = Counter.builder()
                .name("arbutus_host_lists_mistaken_total")
                .help("Times that the host list was taken for a mistake")
                .register(registry);
        ringFull = Counter.builder()
                .name("arbutus_peers_ring_full_total")
                .help("Messages that found the ring of the peers full")
                .register(registry);
        members = gauge(registry, "arbutus_members", "Hosts that are members");
        peers = gauge(registry, "arbutus_peers", "Entries behind open links");
        relay = gauge(registry, "arbutus_relay", "1 if the entry follows the key-value service for its zone");
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }

    void implausibleList() {
        implausibleLists.inc();
    }

    void ringFull() {
        ringFull.inc();
    }

    void members(int count) {
        members.set(count);
    }

    void peers(int count, boolean isRelay) {
        peers.set(count);
        relay.set(isRelay ? 1 : 0);
    }
}
