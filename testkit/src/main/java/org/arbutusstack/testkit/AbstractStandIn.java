package org.arbutusstack.testkit;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import org.arbutusstack.http.server.HttpServers;
import org.arbutusstack.http.server.Responses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Base class for stand-ins: an HTTP server on loopback that passes complete requests to its subclass.
 *
 * <p>Subclasses implement {@link #handle}, which runs on an I/O thread and must not block.
 */
public abstract class AbstractStandIn implements AutoCloseable {

    /** HTTP status of a successful response. */
    protected static final int OK = 200;

    private static final Logger logger = LoggerFactory.getLogger(AbstractStandIn.class);

    private static final String LOOPBACK = "127.0.0.1";

    private static final long MAX_BODY_BYTES = 8L * 1_024 * 1_024;

    private static final int INTERNAL_SERVER_ERROR = 500;

    private final String host;

    private final Undertow server;

    /**
     * Create a stand-in. It does not listen until {@link #start()} is called.
     *
     * @param port the port to listen on; zero for any free port
     */
    protected AbstractStandIn(int port) {
        this(LOOPBACK, port);
    }

    /**
     * Create a stand-in that listens on a given loopback address.
     *
     * @param host the address, within 127.0.0.0/8
     * @param port the port to listen on; zero for any free port
     */
    protected AbstractStandIn(String host, int port) {
        this.host = host;
        HttpHandler handler = exchange -> exchange.getRequestReceiver().receiveFullBytes(this::receive);
        this.server = HttpServers.build(host, port, 1, MAX_BODY_BYTES, handler);
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        try {
            handle(exchange, exchange.getRequestPath(), body);
        } catch (RuntimeException failure) {
            logger.warn("event=stand-in-failure path={}", exchange.getRequestPath(), failure);
            Responses.text(exchange, INTERNAL_SERVER_ERROR, String.valueOf(failure.getMessage()));
        }
    }

    /**
     * Handle a request.
     *
     * @param exchange the exchange to respond to
     * @param path the path of the request
     * @param body the complete body of the request
     */
    protected abstract void handle(HttpServerExchange exchange, String path, byte[] body);

    /** Start to listen. */
    public void start() {
        server.start();
    }

    /**
     * Return the port that the stand-in listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /**
     * Return the address that the stand-in listens on.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return host + ":" + port();
    }

    @Override
    public void close() {
        server.stop();
    }
}
