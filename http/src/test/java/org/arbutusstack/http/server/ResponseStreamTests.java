package org.arbutusstack.http.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ResponseStream}. */
public class ResponseStreamTests {

    private static final byte[] MEGABYTE = new byte[1_048_576];

    private AtomicInteger closes;

    private CountDownLatch closed;

    private Undertow server;

    private Socket caller;

    @BeforeMethod
    public void reset() {
        closes = new AtomicInteger();
        closed = new CountDownLatch(1);
    }

    @AfterMethod
    public void stop() throws IOException {
        caller.close();
        server.stop();
    }

    private void call(Consumer<ResponseStream> responder) throws IOException {
        server = HttpServers.build(
                "127.0.0.1",
                0,
                1,
                1_000,
                exchange -> ResponseStream.open(exchange, stream -> {
                    stream.onClose(() -> {
                        closes.incrementAndGet();
                        closed.countDown();
                    });
                    stream.status(200);
                    responder.accept(stream);
                }));
        server.start();
        int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
        caller = new Socket("127.0.0.1", port);
        caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against the source of a response going on for a caller that was disconnected for reading too slowly. */
    @Test
    public void shouldReportCloseWhenCallerReadsTooSlowly() throws Exception {
        call(stream -> {
            boolean open = true;
            while (open) {
                open = stream.write(MEGABYTE);
            }
        });
        assertTrue(closed.await(5, TimeUnit.SECONDS), "the close was not reported");
        assertEquals(closes.get(), 1);
    }

    /** Guards against the source of a response going on for a caller whose close a write notices first. */
    @Test
    public void shouldReportCloseWhenWriteFails() throws Exception {
        CountDownLatch opened = new CountDownLatch(1);
        call(stream -> {
            stream.write(new byte[1]);
            Thread writer = new Thread(() -> {
                await(opened);
                while (stream.write(new byte[1_000])) {
                    Thread.yield();
                }
            });
            writer.setDaemon(true);
            writer.start();
        });
        assertTrue(caller.getInputStream().read() >= 0);
        caller.setSoLinger(true, 0);
        opened.countDown();
        caller.close();
        assertTrue(closed.await(5, TimeUnit.SECONDS), "the close was not reported");
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a response that was sent completely being reported as cut. */
    @Test
    public void shouldNotReportCloseWhenResponseWasSentCompletely() throws Exception {
        CountDownLatch finished = new CountDownLatch(1);
        call(stream -> {
            stream.onFinish(finished::countDown);
            stream.write(new byte[1]);
            stream.end();
        });
        assertTrue(finished.await(5, TimeUnit.SECONDS));
        caller.close();
        assertFalse(closed.await(200, TimeUnit.MILLISECONDS), "a close was reported");
    }
}
