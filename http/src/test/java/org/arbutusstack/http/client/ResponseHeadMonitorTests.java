package org.arbutusstack.http.client;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests {@link ResponseHeadMonitor}. */
public class ResponseHeadMonitorTests {

    private static UndertowExchange exchange(UndertowHttpClient client) {
        HttpCall call = new HttpCall("GET", "/", Map.of(), new byte[0]);
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        return new UndertowExchange(
                client, HttpTarget.parse("127.0.0.1:1"), call, deadlineNanos, new HttpClient.CollectingListener(1_000));
    }

    @Test
    public void shouldForgetACallWhenItWasCancelledBeforeItCame() {
        try (UndertowHttpClient client = new UndertowHttpClient("watched", 1)) {
            UndertowExchange exchange = exchange(client);
            client.headMonitor().add(exchange);
            assertFalse(client.headMonitor().isIdle());
            exchange.cancel();
            assertTrue(client.headMonitor().isIdle());
            client.headMonitor().add(exchange);
            assertTrue(client.headMonitor().isIdle());
        }
    }
}
