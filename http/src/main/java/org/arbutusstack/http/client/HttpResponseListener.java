package org.arbutusstack.http.client;

import java.util.Map;

/**
 * Takes the parts of an answer as they arrive.
 *
 * <p>Called by an I/O thread; must not block. After {@link #onEnd()} or {@link #onFailure(HttpException)} no further
 * call follows.
 */
public interface HttpResponseListener {

    /**
     * Takes the head of the answer.
     *
     * @param status the status
     * @param headers the headers by name in lower case
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Takes a part of the body.
     *
     * @param bytes the part, the listener's to keep
     */
    void onBytes(byte[] bytes);

    /** Learns that the answer is whole. */
    void onEnd();

    /**
     * Learns that no whole answer will come.
     *
     * @param failure why, and whether the call may have reached the server
     */
    void onFailure(HttpException failure);
}
