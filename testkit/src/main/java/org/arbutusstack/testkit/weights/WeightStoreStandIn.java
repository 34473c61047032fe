package org.arbutusstack.testkit.weights;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.Json;

/**
 * Takes its time over fetches of weights: full speed up to a number in flight, proportionally longer beyond it.
 *
 * <p>{@code POST /fetch/model} and {@code POST /fetch/adapter} answer when the weights are there; {@code POST /fault}
 * with {@code slowdown} multiplies the time. Safe for use by any thread.
 */
public final class WeightStoreStandIn extends AbstractStandIn {

    private final WeightStoreSpeed speed;

    private final AtomicInteger modelsInFlight = new AtomicInteger();

    private final AtomicInteger adaptersInFlight = new AtomicInteger();

    private final AtomicInteger modelFetches = new AtomicInteger();

    private final AtomicInteger adapterFetches = new AtomicInteger();

    private volatile double slowdown = 1;

    /**
     * Creates a stand-in.
     *
     * @param port the port, zero for any free one
     * @param speed how fast it is
     */
    public WeightStoreStandIn(int port, WeightStoreSpeed speed) {
        super(port);
        this.speed = speed;
    }

    /**
     * Counts the fetches of models.
     *
     * @return the number begun since the start
     */
    public int modelFetches() {
        return modelFetches.get();
    }

    /**
     * Counts the fetches of adapters.
     *
     * @return the number begun since the start
     */
    public int adapterFetches() {
        return adapterFetches.get();
    }

    /**
     * Multiplies the time of every fetch from now on.
     *
     * @param factor the factor, one for full speed
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
