package org.arbutusstack.bench.load;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.testkit.AbstractStandIn;

/**
 * Server that answers the warm-up requests of the load generator's client, so that the system under test receives none
 * of them.
 */
final class WarmUpServer extends AbstractStandIn {

    /** Number of requests that load the client's classes and start its threads. */
    private static final int CALLS = 20;

    private static final long PERIOD_MILLIS = 5;

    private static final long DEADLINE_MILLIS = 2_000;

    /** The warm-up requests. */
    static final List<Arrival> TRACE = IntStream.range(0, CALLS)
            .mapToObj(index -> new Arrival(
                    TimeUnit.MILLISECONDS.toNanos(index * PERIOD_MILLIS), "none", 1, "boots", 1, DEADLINE_MILLIS))
            .toList();

    private static final byte[] ANSWER = "data: a\n\ndata: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    WarmUpServer() {
        super(0);
    }

    @Override
    protected void handle(HttpServerExchange exchange, String path, byte[] request) {
        ResponseStream.open(exchange, stream -> {
            stream.head(OK, "text/event-stream");
            stream.write(ANSWER);
            stream.end();
        });
    }
}
