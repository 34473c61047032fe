package org.arbutusstack.http.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.server.HttpServers;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that responses without end, from a server that is faster than their reader, delay nothing else. */
public class EndlessBodyTests {

    private static final long DEADLINE_MILLIS = 1_500;

    private static final int READS_BEFORE_OTHER_CALL = 100;

    private static final int ENDLESS_CALLS = 4;

    /** What the buffers of both ends of a connection hold, and more. */
    private static final long MAX_SENT_BYTES = 40_000_000;

    private static final String HEAD = "HTTP/1.1 200 OK\r\n";

    private UndertowHttpClient client;

    private Undertow sound;

    private FloodServer endless;

    @BeforeMethod
    public void start() {
        client = new UndertowHttpClient("reader", 1);
        sound = HttpServers.build("127.0.0.1", 0, 1, 1_000, EndlessBodyTests::answer);
        sound.start();
    }

    @AfterMethod
    public void stop() throws Exception {
        client.close();
        sound.stop();
        endless.close();
    }

    private static void answer(HttpServerExchange exchange) {
        exchange.getResponseSender().send("ok");
    }

    private HttpTarget soundTarget() {
        int port = ((InetSocketAddress) sound.getListenerInfo().get(0).getAddress()).getPort();
        return new HttpTarget("127.0.0.1", port);
    }

    @DataProvider
    public Object[][] framings() {
        String kilobyte = "x".repeat(1_024);
        String chunks = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
        return new Object[][] {
            {"no length", HEAD + "\r\n", kilobyte.repeat(64)},
            {"a length", HEAD + "Content-Length: 900000000000\r\n\r\n", kilobyte.repeat(64)},
            {"chunks", chunks, "400\r\n" + kilobyte + "\r\n"},
            {"tiny chunks", chunks, "1\r\nx\r\n".repeat(1_000)}
        };
    }

    /** Guards against responses without end keeping the I/O thread from other calls and from their deadlines. */
    @Test(dataProvider = "framings")
    public void shouldServeOtherCallsAndKeepDeadlineWhenBodyNeverEnds(String framing, String head, String repeated)
            throws Exception {
        endless = new FloodServer(head, repeated);
        SlowListener listener = new SlowListener();
        long startNanos = System.nanoTime();
        for (int index = 0; index < ENDLESS_CALLS; index++) {
            client.stream(endless.target(), HttpCall.get("/"), deadlineNanos(DEADLINE_MILLIS), listener);
        }
        assertTrue(listener.manyReads.await(10, TimeUnit.SECONDS), "the body did not come");
        HttpReply reply = client.call(soundTarget(), HttpCall.get("/"), deadlineNanos(5_000))
                .get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(reply.status(), 200);
        assertTrue(listener.failed.await(2 * DEADLINE_MILLIS, TimeUnit.MILLISECONDS), "the deadline passed unnoticed");
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(elapsedMillis < 2 * DEADLINE_MILLIS, elapsedMillis + " ms");
    }

    @DataProvider
    public Object[][] framingsWithoutEnd() {
        String kilobyte = "x".repeat(1_024);
        String chunks = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
        return new Object[][] {
            {"a status line", "HTTP/1.1 200 ", kilobyte},
            {"a head of many lines", HEAD, "X-Line: " + kilobyte + "\r\n"},
            {"a head of one line", HEAD + "X-Line: ", kilobyte},
            {"interim heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
            {"a trailer of many lines", chunks + "2\r\nok\r\n0\r\n", "X-Line: " + kilobyte + "\r\n"},
            {"a trailer of one line", chunks + "2\r\nok\r\n0\r\nX-Line: ", kilobyte},
            {"an extension of a chunk", chunks + "2;", kilobyte},
            {"the size of a chunk", chunks, "0".repeat(1_024)}
        };
    }

    /** Guards against a client that keeps what surrounds the body until its memory is exhausted. */
    @Test(dataProvider = "framingsWithoutEnd")
    public void shouldFailCallWhenBytesAroundBodyNeverEnd(String part, String head, String repeated) throws Exception {
        endless = new FloodServer(head, repeated);
        CompletableFuture<HttpReply> reply = client.call(endless.target(), HttpCall.get("/"), deadlineNanos(20_000));
        assertThrows(ExecutionException.class, () -> reply.get(10, TimeUnit.SECONDS));
        assertTrue(endless.sentBytes() < MAX_SENT_BYTES, endless.sentBytes() + " bytes");
    }

    private static long deadlineNanos(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Listener that handles the parts more slowly than the server sends them. */
    private static final class SlowListener implements HttpResponseListener {

        final CountDownLatch manyReads = new CountDownLatch(READS_BEFORE_OTHER_CALL);

        final CountDownLatch failed = new CountDownLatch(ENDLESS_CALLS);

        @Override
        public void onHead(int status, Map<String, String> headers) {
            assertEquals(status, 200);
        }

        @Override
        public void onBytes(byte[] bytes) {
            manyReads.countDown();
            long endNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(500);
            while (System.nanoTime() - endNanos < 0) {
                Thread.onSpinWait();
            }
        }

        @Override
        public void onEnd() {
            throw new IllegalStateException("the response has no end");
        }

        @Override
        public void onFailure(HttpException failure) {
            failed.countDown();
        }
    }
}
