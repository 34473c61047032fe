package org.arbutusstack.http.client;

import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Describes one call.
 *
 * @param method the method
 * @param path the path with its query
 * @param headers the headers beside those of the transport
 * @param body the body, empty for none; not copied
 * @param repeatable whether it may go on a connection that was idle for long and may be dead
 */
public record HttpCall(String method, String path, Map<String, String> headers, byte[] body, boolean repeatable) {

    private static final byte[] NO_BODY = new byte[0];

    /** Checks the call. */
    public HttpCall {
        Assert.hasText(method, "method");
        Assert.hasText(path, "path");
        headers = Map.copyOf(headers);
        Assert.notNull(body, "body");
    }

    /**
     * Describes a call that may be repeated.
     *
     * @param method the method
     * @param path the path with its query
     * @param headers the headers
     * @param body the body; not copied
     */
    public HttpCall(String method, String path, Map<String, String> headers, byte[] body) {
        this(method, path, headers, body, true);
    }

    /**
     * Describes a POST of JSON.
     *
     * @param path the path
     * @param body the JSON in UTF-8
     * @return the call
     */
    public static HttpCall post(String path, byte[] body) {
        return new HttpCall("POST", path, Map.of("Content-Type", "application/json"), body);
    }

    /**
     * Describes a GET.
     *
     * @param path the path with its query
     * @return the call
     */
    public static HttpCall get(String path) {
        return new HttpCall("GET", path, Map.of(), NO_BODY);
    }
}
