package org.arbutusstack.http.client;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.kernel.Assert;

/**
 * HTTP request to be sent by an {@link HttpClient}.
 *
 * @param method the HTTP method
 * @param path the path and the query
 * @param headers the headers in addition to those that the client sets; names are equal without regard to case
 * @param body the bytes of the body, empty for none; not copied
 * @param repeatable whether the call may be sent on a connection that has been idle for long and may be dead
 * @param newConnection whether the call is sent on a new connection, which carries no late answer to an earlier call
 */
public record HttpCall(
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean repeatable,
        boolean newConnection) {

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Check the components and copy the headers.
     *
     * @throws IllegalArgumentException if two names of headers differ only in case
     */
    public HttpCall {
        Assert.hasText(method, "method");
        Assert.hasText(path, "path");
        headers = copyOf(headers);
        Assert.notNull(body, "body");
    }

    private static Map<String, String> copyOf(Map<String, String> headers) {
        Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        copy.putAll(headers);
        Assert.isTrue(copy.size() == headers.size(), "the names of two headers differ only in case");
        return Collections.unmodifiableMap(copy);
    }

    /**
     * Create a call that may be sent on an idle connection.
     *
     * @param method the HTTP method
     * @param path the path and the query
     * @param headers the headers in addition to those that the client sets
     * @param body the bytes of the body; not copied
     * @param repeatable whether that connection may have been idle for long
     */
    public HttpCall(String method, String path, Map<String, String> headers, byte[] body, boolean repeatable) {
        this(method, path, headers, body, repeatable, false);
    }

    /**
     * Create a repeatable call.
     *
     * @param method the HTTP method
     * @param path the path and the query
     * @param headers the headers in addition to those that the client sets
     * @param body the bytes of the body; not copied
     */
    public HttpCall(String method, String path, Map<String, String> headers, byte[] body) {
        this(method, path, headers, body, true);
    }

    /**
     * Create a POST of JSON.
     *
     * @param path the path
     * @param body the JSON in UTF-8
     * @return the call
     */
    public static HttpCall post(String path, byte[] body) {
        return new HttpCall("POST", path, Map.of("Content-Type", "application/json"), body);
    }

    /**
     * Create a GET.
     *
     * @param path the path and the query
     * @return the call
     */
    public static HttpCall get(String path) {
        return new HttpCall("GET", path, Map.of(), NO_BODY);
    }
}
