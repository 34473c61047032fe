package org.arbutusstack.http.client;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Server that answers each connection with a head and then sends bytes as fast as the client reads them. */
final class FloodServer implements AutoCloseable {

    private static final Logger logger = LoggerFactory.getLogger(FloodServer.class);

    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    private final byte[] head;

    private final byte[] repeated;

    private final AtomicLong sentBytes = new AtomicLong();

    FloodServer(String head, String repeated) throws IOException {
        this.head = head.getBytes(StandardCharsets.ISO_8859_1);
        this.repeated = repeated.getBytes(StandardCharsets.ISO_8859_1);
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "flood-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                start(() -> flood(connection));
            } catch (IOException closed) {
                logger.debug("event=flood-server-closed detail={}", closed.getMessage());
            }
        }
    }

    private void flood(Socket connection) {
        try (connection) {
            int firstByte = connection.getInputStream().read();
            OutputStream out = connection.getOutputStream();
            out.write(head);
            while (firstByte >= 0) {
                out.write(repeated);
                sentBytes.addAndGet(repeated.length);
            }
        } catch (IOException ended) {
            logger.debug("event=flood-ended detail={}", ended.getMessage());
        }
    }

    /** Return the number of repeated bytes that were sent on all connections. */
    long sentBytes() {
        return sentBytes.get();
    }

    HttpTarget target() {
        return new HttpTarget("127.0.0.1", socket.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
