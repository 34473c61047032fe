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

/** Answers each connection with a beginning and then the same bytes again and again, until the other end closes. */
public final class EndlessServer implements AutoCloseable {

    private static final Logger logger = LoggerFactory.getLogger(EndlessServer.class);

    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    private final byte[] beginning;

    private final byte[] repeated;

    private final long pauseMillis;

    private final AtomicLong maxBytes = new AtomicLong();

    private final AtomicInteger open = new AtomicInteger();

    /**
     * Starts a server.
     *
     * @param beginning what it sends first
     * @param repeated what it sends without end
     * @param pauseMillis the pause after each repetition
     * @throws IOException if it cannot listen
     */
    public EndlessServer(String beginning, String repeated, long pauseMillis) throws IOException {
        this.beginning = beginning.getBytes(StandardCharsets.UTF_8);
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
                open.incrementAndGet();
                start(() -> serve(connection));
            } catch (IOException closed) {
                logger.debug("event=endless-server-closed detail={}", closed.getMessage());
            }
        }
    }

    private void serve(Socket connection) {
        long sentBytes = 0;
        try (connection) {
            int first = connection.getInputStream().read();
            OutputStream out = connection.getOutputStream();
            out.write(beginning);
            while (first >= 0) {
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
            open.decrementAndGet();
        }
    }

    /**
     * Tells where it listens.
     *
     * @return IP number and port
     */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /**
     * Counts the connections that the other end has not closed.
     *
     * @return their number
     */
    public int openConnections() {
        return open.get();
    }

    /**
     * Tells how much the other end of one connection took before it closed.
     *
     * @return the most bytes of any connection that has ended
     */
    public long maxBytes() {
        return maxBytes.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
