package org.arbutusstack.testkit.weights;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.Json;

/**
 * Stand-in for the weight store that delays each fetch. Up to a limit of fetches in flight each takes the time of full
 * speed; above it each takes proportionally longer.
 *
 * <p>{@code POST /fetch/model} and {@code POST /fetch/adapter} answer when the fetch is complete. {@code POST /fault}
 * with {@code slowdown} sets a factor for the time of each fetch. Thread-safe.
 */
public final class WeightStoreStandIn extends AbstractStandIn {

    private final WeightStoreSpeed speed;

    private final AtomicInteger modelsInFlight = new AtomicInteger();

    private final AtomicInteger adaptersInFlight = new AtomicInteger();

    private final AtomicInteger modelFetches = new AtomicInteger();

    private final AtomicInteger adapterFetches = new AtomicInteger();

    private volatile double slowdown = 1;

    /**
     * Create a stand-in.
     *
     * @param port the port to listen on; zero for any free port
     * @param speed the speed of the weight store
     */
    public WeightStoreStandIn(int port, WeightStoreSpeed speed) {
        super(port);
        this.speed = speed;
    }

    /**
     * Return the number of fetches of models.
     *
     * @return the number of fetches that have started
     */
    public int modelFetches() {
        return modelFetches.get();
    }

    /**
     * Return the number of fetches of adapters.
     *
     * @return the number of fetches that have started
     */
    public int adapterFetches() {
        return adapterFetches.get();
    }

    /**
     * Multiply the time of every fetch from now on.
     *
     * @param factor the factor; 1 for full speed
     */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    @Override
    protected void handle(HttpServerExchange exchange, String path, byte[] body) {
        switch (path) {
            case "/fetch/model" -> {
                modelFetches.incrementAndGet();
                fetch(exchange, modelsInFlight, speed.modelMillis(), speed.modelsAtFullSpeed());
            }
            case "/fetch/adapter" -> {
                adapterFetches.incrementAndGet();
                fetch(exchange, adaptersInFlight, speed.adapterMillis(), speed.adaptersAtFullSpeed());
            }
            default -> setFault(exchange, body);
        }
    }

    private void setFault(HttpServerExchange exchange, byte[] body) {
        slowdown = Json.read(body).path("slowdown").asDouble(1);
        Responses.json(exchange, OK, "{}");
    }

    private void fetch(HttpServerExchange exchange, AtomicInteger inFlight, long millis, int atFullSpeed) {
        int count = inFlight.incrementAndGet();
        double factor = Math.max(1, (double) count / atFullSpeed) * slowdown;
        ResponseStream.open(exchange, stream -> exchange.getIoThread()
                .executeAfter(
                        () -> {
                            inFlight.decrementAndGet();
                            Responses.json(exchange, OK, "{}");
                        },
                        Math.round(millis * factor),
                        TimeUnit.MILLISECONDS));
    }
}
