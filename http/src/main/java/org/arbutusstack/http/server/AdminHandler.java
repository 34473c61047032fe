package org.arbutusstack.http.server;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.arbutusstack.kernel.Assert;

/**
 * Handler for the paths {@code /metrics}, {@code /healthz}, {@code /readyz} and {@code /state} of a process.
 *
 * <p>Thread-safe.
 */
public final class AdminHandler implements HttpHandler {

    private static final int OK = 200;

    private static final int NOT_FOUND = 404;

    private static final int UNAVAILABLE = 503;

    private final PrometheusRegistry metrics;

    private final BooleanSupplier ready;

    private final Supplier<byte[]> state;

    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().build();

    /**
     * Create a handler.
     *
     * @param metrics the registry of the process's metrics
     * @param ready the readiness check: whether the process accepts work
     * @param state the supplier of the process's state as JSON in UTF-8
     */
    public AdminHandler(PrometheusRegistry metrics, BooleanSupplier ready, Supplier<byte[]> state) {
        this.metrics = Assert.notNull(metrics, "metrics");
        this.ready = Assert.notNull(ready, "ready");
        this.state = Assert.notNull(state, "state");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException {
        switch (exchange.getRequestPath()) {
            case "/metrics" -> sendMetrics(exchange);
            case "/healthz" -> Responses.text(exchange, OK, "ok\n");
            case "/readyz" -> sendReadiness(exchange);
            case "/state" -> Responses.json(exchange, OK, state.get());
            default -> Responses.text(exchange, NOT_FOUND, "unknown path\n");
        }
    }

    private void sendReadiness(HttpServerExchange exchange) {
        boolean isReady = ready.getAsBoolean();
        Responses.text(exchange, isReady ? OK : UNAVAILABLE, isReady ? "ready\n" : "not ready\n");
    }

    private void sendMetrics(HttpServerExchange exchange) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        writer.write(bytes, metrics.scrape());
        Responses.send(exchange, OK, writer.getContentType(), bytes.toByteArray());
    }
}
