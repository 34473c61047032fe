package org.arbutusstack.testkit;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Server that answers each connection with a preamble and then repeats the same bytes until the client closes the
 * connection.
 */
public final class EndlessServer implements AutoCloseable {

    private static final Logger logger = LoggerFactory.getLogger(EndlessServer.class);

    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    private final byte[] preamble;

    private final byte[] repeated;

    private final long pauseMillis;

    private final AtomicLong maxBytes = new AtomicLong();

    private final AtomicInteger openCount = new AtomicInteger();

    /**
     * Start a server on a free port of loopback.
     *
     * @param preamble the text to send first
     * @param repeated the text to repeat
     * @param pauseMillis the pause after each repetition, in milliseconds
     * @throws IOException if it cannot listen
     */
    public EndlessServer(String preamble, String repeated, long pauseMillis) throws IOException {
        this.preamble = preamble.getBytes(StandardCharsets.UTF_8);
        this.repeated = repeated.getBytes(StandardCharsets.UTF_8);
        this.pauseMillis = pauseMillis;
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "endless-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                openCount.incrementAndGet();
                start(() -> sendWithoutEnd(connection));
            } catch (IOException closed) {
                logger.debug("event=endless-server-closed detail={}", closed.getMessage());
            }
        }
    }

    private void sendWithoutEnd(Socket connection) {
        long sentBytes = 0;
        try (connection) {
            int firstByte = connection.getInputStream().read();
            OutputStream out = connection.getOutputStream();
            out.write(preamble);
            while (firstByte >= 0) {
                out.write(repeated);
                out.flush();
                sentBytes += repeated.length;
                Thread.sleep(pauseMillis);
            }
        } catch (IOException ended) {
            logger.debug("event=endless-answer-ended bytes={} detail={}", sentBytes, ended.getMessage());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            maxBytes.accumulateAndGet(sentBytes, Math::max);
            openCount.decrementAndGet();
        }
    }

    /**
     * Return the address that the server listens on.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /**
     * Return the number of connections that the clients have not closed.
     *
     * @return the number of open connections
     */
    public int openConnections() {
        return openCount.get();
    }

    /**
     * Return the largest number of repeated bytes that was sent on one connection.
     *
     * @return the maximum over all connections that have ended, in bytes
     */
    public long maxBytes() {
        return maxBytes.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
