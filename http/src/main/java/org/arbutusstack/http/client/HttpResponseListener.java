package org.arbutusstack.http.client;

import java.util.Map;

/**
 * Callback interface for the parts of a response as they arrive.
 *
 * <p>Called by an I/O thread; implementations must not block. No call follows {@link #onEnd()} or {@link
 * #onFailure(HttpException)}.
 */
public interface HttpResponseListener {

    /**
     * Handle the head of the response.
     *
     * @param status the HTTP status
     * @param headers the headers, by name without regard to case
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Handle a part of the body.
     *
     * @param bytes the bytes of the part; the listener may keep them
     */
    void onBytes(byte[] bytes);

    /** Handle the end of a complete response. */
    void onEnd();

    /**
     * Handle the failure of the call; the response is missing or incomplete.
     *
     * @param failure the cause, and whether the call may have reached the server
     */
    void onFailure(HttpException failure);
}
