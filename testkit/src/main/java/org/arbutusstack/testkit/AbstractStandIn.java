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
 * Listens on loopback and hands whole requests to a subclass.
 *
 * <p>Subclasses implement {@link #handle}, which runs on an I/O thread and must not block.
 */
public abstract class AbstractStandIn implements AutoCloseable {

    /** The status of success. */
    protected static final int OK = 200;

    private static final Logger logger = LoggerFactory.getLogger(AbstractStandIn.class);

    private static final String LOOPBACK = "127.0.0.1";

    private static final long LONGEST_BODY_BYTES = 8L * 1_024 * 1_024;

    private static final int ERROR = 500;

    private final Undertow server;

    /**
     * Creates a stand-in; it does not listen before {@link #start()}.
     *
     * @param port the port, zero for any free one
     */
    protected AbstractStandIn(int port) {
        HttpHandler handler = exchange -> exchange.getRequestReceiver().receiveFullBytes(this::receive);
        this.server = HttpServers.build(LOOPBACK, port, 1, LONGEST_BODY_BYTES, handler);
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        try {
            handle(exchange, exchange.getRequestPath(), body);
        } catch (RuntimeException failure) {
            logger.warn("event=stand-in-failure path={}", exchange.getRequestPath(), failure);
            Responses.text(exchange, ERROR, String.valueOf(failure.getMessage()));
        }
    }

    /**
     * Answers a request.
     *
     * @param exchange the exchange
     * @param path its path
     * @param body its whole body
     */
    protected abstract void handle(HttpServerExchange exchange, String path, byte[] body);

    /** Starts to listen. */
    public void start() {
        server.start();
    }

    /**
     * Tells where the stand-in listens.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /**
     * Tells where the stand-in listens.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return LOOPBACK + ":" + port();
    }

    @Override
    public void close() {
        server.stop();
    }
}
