package org.arbutusstack.bench.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.testkit.AbstractStandIn;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link LoadGenerator} reports the outcome of each request accurately. */
public class LoadGeneratorTests {

    private static final String COMPLETE = "data: a\n\ndata: b\n\ndata: [DONE]\n\n";

    @DataProvider
    Object[][] answers() {
        return new Object[][] {
            {200, COMPLETE, 0, Outcome.IN_TIME},
            {200, COMPLETE, 700, Outcome.LATE},
            {200, "data: a\n\ndata: [DONE]\n\n", 0, Outcome.BROKEN},
            {200, "data: a\n\ndata: b\n\n", 0, Outcome.BROKEN},
            {200, "data: a\n\ndata: b\n\nevent: error\ndata: {}\n\n", 0, Outcome.BROKEN},
            {503, "{\"error\":{\"kind\":\"not_run\",\"reason\":\"no_runner\"}}", 0, Outcome.REFUSED},
            {200, COMPLETE, 9_000, Outcome.BROKEN},
        };
    }

    @Test(dataProvider = "answers")
    public void shouldNameOutcomeWhenAnswerIs(int status, String body, long delayMillis, Outcome expected) {
        LoadResult result = run(new FixedAnswerServer(status, body, delayMillis), List.of(arrival(0)));
        assertEquals(result.count(expected), 1, result.json().toString());
        assertEquals(result.completedCount(), 1);
    }

    @Test
    public void shouldSendOnWhenEarlierRequestsHang() {
        LoadResult result =
                run(new FixedAnswerServer(200, COMPLETE, 400), List.of(arrival(0), arrival(50), arrival(100)));
        assertEquals(result.count(Outcome.IN_TIME), 3, result.json().toString());
        assertTrue(result.json().path("first_token_millis").path("p50").asDouble() >= 399);
        assertTrue(result.json().path("send_lag_millis").path("p99").asDouble() < 400);
    }

    @Test
    public void shouldSendOnlyTheTraceToTheSystemWhenItsClientStarts() {
        FixedAnswerServer server = new FixedAnswerServer(200, COMPLETE, 0);
        run(server, List.of(arrival(0), arrival(0)));
        assertEquals(server.requests.get(), 2);
    }

    private static Arrival arrival(long atMillis) {
        return new Arrival(TimeUnit.MILLISECONDS.toNanos(atMillis), "model-0", 1, "boots", 2, 500);
    }

    private static LoadResult run(FixedAnswerServer server, List<Arrival> trace) {
        try (server;
                UndertowHttpClient client = new UndertowHttpClient("load-test", 1)) {
            server.start();
            return new LoadGenerator(client, List.of(HttpTarget.parse(server.address()))).run(trace);
        }
    }

    /** Server that gives every request the same answer after a delay. */
    private static final class FixedAnswerServer extends AbstractStandIn {

        private final AtomicInteger requests = new AtomicInteger();

        private final int status;

        private final byte[] body;

        private final long delayMillis;

        FixedAnswerServer(int status, String body, long delayMillis) {
            super(0);
            this.status = status;
            this.body = body.getBytes(StandardCharsets.UTF_8);
            this.delayMillis = delayMillis;
        }

        @Override
        protected void handle(HttpServerExchange exchange, String path, byte[] request) {
            requests.incrementAndGet();
            ResponseStream.open(exchange, stream -> exchange.getIoThread()
                    .executeAfter(() -> answer(stream), delayMillis, TimeUnit.MILLISECONDS));
        }

        private void answer(ResponseStream stream) {
            stream.head(status, "text/event-stream");
            stream.write(body);
            stream.end();
        }
    }
}
