package org.arbutusstack.http.client;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests calls whose bodies do not fit into the buffers of a connection. */
public class LargeBodyTests {

    private static final int BODY_BYTES = 4_000_000;

    /** Much longer than the client takes after the last byte of a body. */
    private static final int WAIT_MILLIS = 300;

    /** Read a request and answer it; return what was read after the body, -1 for the end of the connection. */
    private static int serve(ServerSocket listener, int delayMillis) {
        try (Socket connection = listener.accept()) {
            InputStream in = connection.getInputStream();
            StringBuilder head = new StringBuilder();
            while (!head.toString().endsWith("\r\n\r\n")) {
                head.append((char) in.read());
            }
            Thread.sleep(delayMillis);
            in.skipNBytes(BODY_BYTES);
            connection.setSoTimeout(WAIT_MILLIS);
            int next = readOrTimeOut(in);
            connection
                    .getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return next;
        } catch (IOException | InterruptedException broken) {
            return -1;
        }
    }

    private static int readOrTimeOut(InputStream in) throws IOException {
        try {
            return in.read();
        } catch (SocketTimeoutException open) {
            return 0;
        }
    }

    /** How long the server does not read: the client then sends the last bytes in its first write or in a later one. */
    @DataProvider
    public Object[][] delays() {
        return new Object[][] {{0}, {5}, {100}};
    }

    /** Guards against the client closing its half of a connection, which servers take for a caller that has left. */
    @Test(dataProvider = "delays", invocationCount = 5)
    public void shouldKeepConnectionOpenAfterLargeBody(int delayMillis) throws Exception {
        try (UndertowHttpClient client = new UndertowHttpClient("caller", 1);
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Integer> next = CompletableFuture.supplyAsync(() -> serve(listener, delayMillis));
            HttpCall call = HttpCall.post("/x", new byte[BODY_BYTES]);
            CompletableFuture<HttpReply> reply = client.call(
                    new HttpTarget("127.0.0.1", listener.getLocalPort()),
                    call,
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(5));
            assertEquals(next.get(), Integer.valueOf(0));
            assertEquals(reply.get().status(), 200);
        }
    }
}
