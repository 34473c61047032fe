package org.arbutusstack.http.server;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Helper that sends complete responses.
 *
 * <p>Stateless; must be called on the thread of the exchange.
 */
public final class Responses {

    private static final String JSON = "application/json";

    private Responses() {}

    /**
     * Send JSON that is already encoded.
     *
     * @param exchange the exchange to respond to
     * @param status the HTTP status
     * @param json the JSON text in UTF-8
     */
    public static void json(HttpServerExchange exchange, int status, byte[] json) {
        send(exchange, status, JSON, json);
    }

    /**
     * Send JSON, encoded in UTF-8.
     *
     * @param exchange the exchange to respond to
     * @param status the HTTP status
     * @param json the body
     */
    public static void json(HttpServerExchange exchange, int status, String json) {
        send(exchange, status, JSON, json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Send plain text encoded in UTF-8.
     *
     * @param exchange the exchange to respond to
     * @param status the HTTP status
     * @param text the body
     */
    public static void text(HttpServerExchange exchange, int status, String text) {
        send(exchange, status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Send a response with a body, unless the response has already been started.
     *
     * @param exchange the exchange to respond to
     * @param status the HTTP status
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
