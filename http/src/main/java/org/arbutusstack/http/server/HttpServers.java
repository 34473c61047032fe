package org.arbutusstack.http.server;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.arbutusstack.kernel.Assert;
import org.xnio.XnioWorker;

/**
 * Builds HTTP listeners with few threads and a bound on bodies.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class HttpServers {

    private static final int BUFFER_BYTES = 8_192;

    private static final int IDLE_MILLIS = 120_000;

    /** How long the head of a request may take: longer than the time that users' limits name for it. */
    private static final int PARSE_MILLIS = 10_000;

    /** The longest head that is read; several times the 16 KiB that deployments permit. */
    private static final int LONGEST_HEAD_BYTES = 65_536;

    private HttpServers() {}

    /**
     * Builds a listener; it does not listen before it is started.
     *
     * @param address the IP number to listen on
     * @param port the port
     * @param ioThreads the number of I/O threads
     * @param longestBodyBytes the longest body taken
     * @param handler what answers
     * @return the listener
     */
    public static Undertow build(String address, int port, int ioThreads, long longestBodyBytes, HttpHandler handler) {
        return builder(address, port, ioThreads, longestBodyBytes, handler).build();
    }

    /**
     * Builds a server that closes connections over which nothing passes.
     *
     * @param address the IP number to listen on
     * @param port the port, zero for any free one
     * @param ioThreads the number of I/O threads
     * @param longestBodyBytes the longest request body taken
     * @param idleMillis how long a connection may carry nothing, in milliseconds
     * @param handler what answers
     * @return the server, not yet started
     */
    public static Undertow build(
            String address, int port, int ioThreads, long longestBodyBytes, int idleMillis, HttpHandler handler) {
        return builder(address, port, ioThreads, longestBodyBytes, handler)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMillis)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MILLIS)
                .build();
    }

    /**
     * Builds a listener on threads that it shares with others.
     *
     * @param address the IP number to listen on
     * @param port the port; zero for any free one
     * @param worker the threads
     * @param longestBodyBytes the longest body that is read
     * @param idleMillis how long a connection may be idle before it is closed
     * @param handler answers the requests
     * @return the listener, not yet started
     */
    public static Undertow build(
            String address, int port, XnioWorker worker, long longestBodyBytes, int idleMillis, HttpHandler handler) {
        return builder(address, port, 1, longestBodyBytes, handler)
                .setWorker(worker)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, LONGEST_HEAD_BYTES)
                .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .build();
    }

    private static Undertow.Builder builder(
            String address, int port, int ioThreads, long longestBodyBytes, HttpHandler handler) {
        Assert.hasText(address, "address");
        Assert.notNull(handler, "handler");
        return Undertow.builder()
                .addHttpListener(port, address)
                .setIoThreads(ioThreads)
                .setWorkerThreads(2)
                .setDirectBuffers(false)
                .setBufferSize(BUFFER_BYTES)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, longestBodyBytes)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, false)
                .setHandler(handler);
    }
}
