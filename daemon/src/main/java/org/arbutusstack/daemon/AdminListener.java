package org.arbutusstack.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.arbutusstack.http.server.AdminHandler;
import org.arbutusstack.http.server.HttpServers;
import org.arbutusstack.kernel.service.Service;

/** HTTP listener for metrics, health and readiness checks and the state dump. */
final class AdminListener implements Service {

    private static final long MAX_BODY_BYTES = 1_024;

    private final Undertow server;

    AdminListener(String address, int port, PrometheusRegistry metrics, BooleanSupplier ready, Supplier<byte[]> state) {
        this.server = HttpServers.build(address, port, 1, MAX_BODY_BYTES, new AdminHandler(metrics, ready, state));
    }

    @Override
    public String name() {
        return "admin";
    }

    @Override
    public void start() {
        server.start();
    }

    @Override
    public void stop() {
        server.stop();
    }
}
