package org.arbutusstack.http.server;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import org.arbutusstack.kernel.Assert;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Factory for HTTP listeners with few threads and a limit on the size of request bodies.
 *
 * <p>Stateless and thread-safe.
 */
public final class HttpServers {

    private static final int BUFFER_BYTES = 8_192;

    private static final int DEFAULT_IDLE_MILLIS = 120_000;

    /** Timeout for receiving the head of a request; longer than the time that users' limits specify for it. */
    private static final int HEAD_TIMEOUT_MILLIS = 10_000;

    /** Maximum size of a request head; several times the 16 KiB that deployments permit. */
    private static final int MAX_HEAD_BYTES = 65_536;

    private HttpServers() {}

    /**
     * Build a listener with I/O threads of its own and the default idle timeout.
     *
     * @param address the IP number to listen on
     * @param port the port
     * @param ioThreads the number of I/O threads
     * @param maxBodyBytes the maximum size of a request body
     * @param handler the handler of the requests
     * @return the listener, not yet started
     */
    public static Undertow build(String address, int port, int ioThreads, long maxBodyBytes, HttpHandler handler) {
        return builder(address, port, ioThreads, maxBodyBytes, handler).build();
    }

    /**
     * Build a listener that closes connections that carry no data for a while.
     *
     * @param address the IP number to listen on
     * @param port the port; zero for any free port
     * @param ioThreads the number of I/O threads
     * @param maxBodyBytes the maximum size of a request body
     * @param idleMillis how long a connection may carry no data, in milliseconds
     * @param handler the handler of the requests
     * @return the listener, not yet started
     */
    public static Undertow build(
            String address, int port, int ioThreads, long maxBodyBytes, int idleMillis, HttpHandler handler) {
        return builder(address, port, ioThreads, maxBodyBytes, handler)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMillis)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
                .build();
    }

    /**
     * Build a listener that shares its threads with other listeners and clients.
     *
     * @param address the IP number to listen on
     * @param port the port; zero for any free port
     * @param worker the worker with the shared threads
     * @param maxBodyBytes the maximum size of a request body
     * @param idleMillis how long a connection may wait for its next request, in milliseconds
     * @param sendBufferBytes the size of the system's send buffer of each connection; zero to let the system choose
     * @param handler the handler of the requests
     * @return the listener, not yet started
     */
    public static Undertow build(
            String address,
            int port,
            XnioWorker worker,
            long maxBodyBytes,
            int idleMillis,
            int sendBufferBytes,
            HttpHandler handler) {
        Undertow.Builder builder = builder(address, port, 1, maxBodyBytes, handler);
        if (sendBufferBytes > 0) {
            builder.setSocketOption(Options.SEND_BUFFER, sendBufferBytes);
        }
        return builder.setWorker(worker)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .build();
    }

    private static Undertow.Builder builder(
            String address, int port, int ioThreads, long maxBodyBytes, HttpHandler handler) {
        Assert.hasText(address, "address");
        Assert.notNull(handler, "handler");
        return Undertow.builder()
                .addHttpListener(port, address)
                .setIoThreads(ioThreads)
                .setWorkerThreads(2)
                .setDirectBuffers(false)
                .setBufferSize(BUFFER_BYTES)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, DEFAULT_IDLE_MILLIS)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, false)
                .setHandler(handler);
    }
}
