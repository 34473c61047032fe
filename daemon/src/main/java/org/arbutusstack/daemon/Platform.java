package org.arbutusstack.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.wire.link.LinkTransport;

/**
 * Holds what the services of both roles use.
 *
 * @param incarnation the name of this run of the process
 * @param clock the clock
 * @param client sends HTTP calls
 * @param store the key-value service
 * @param transport carries links
 * @param metrics the process's metrics
 */
record Platform(
        String incarnation,
        Clock clock,
        HttpClient client,
        KeyValueStore store,
        LinkTransport transport,
        PrometheusRegistry metrics) {

    void close() {
        transport.stop();
        client.close();
    }
}
