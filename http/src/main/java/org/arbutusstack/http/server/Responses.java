package org.arbutusstack.http.server;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Sends whole answers.
 *
 * <p>To be called on the exchange's own thread. Stateless.
 */
public final class Responses {

    private static final String JSON = "application/json";

    private Responses() {}

    /**
     * Sends JSON.
     *
     * @param exchange the exchange to answer
     * @param status the status
     * @param json the body in UTF-8
     */
    public static void json(HttpServerExchange exchange, int status, byte[] json) {
        send(exchange, status, JSON, json);
    }

    /**
     * Sends JSON.
     *
     * @param exchange the exchange to answer
     * @param status the status
     * @param json the body
     */
    public static void json(HttpServerExchange exchange, int status, String json) {
        send(exchange, status, JSON, json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends plain text.
     *
     * @param exchange the exchange to answer
     * @param status the status
     * @param text the body
     */
    public static void text(HttpServerExchange exchange, int status, String text) {
        send(exchange, status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a body.
     *
     * @param exchange the exchange to answer
     * @param status the status
     * @param contentType the content type
     * @param body the body
     */
    public static void send(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
