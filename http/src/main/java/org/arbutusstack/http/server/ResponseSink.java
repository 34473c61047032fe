package org.arbutusstack.http.server;

/**
 * Destination of the response to one request.
 *
 * <p>Implementations are thread-safe and never block.
 *
 * @see ResponseStream
 */
public interface ResponseSink {

    /**
     * Set the status and the content type. Must be called before the first {@link #write}.
     *
     * @param status the HTTP status
     * @param contentType the content type
     */
    void head(int status, String contentType);

    /**
     * Set the status without a content type. Must be called before the first {@link #write}.
     *
     * @param status the HTTP status
     */
    default void status(int status) {
        throw new UnsupportedOperationException("setting a status without a content type is not supported");
    }

    /** Close the connection after this response and announce that to the caller. */
    default void closeConnectionAfterResponse() {}

    /**
     * Set a header. Must be called before the first {@link #write}.
     *
     * @param name the name of the header
     * @param value the value of the header
     */
    void header(String name, String value);

    /**
     * Send a part of the body.
     *
     * @param bytes the bytes of the part; not copied
     * @return {@code false} if the caller has disconnected or reads too slowly
     */
    boolean write(byte[] bytes);

    /** End the response after the parts sent so far. */
    void end();

    /** Close the connection, so that the caller can tell that the response is incomplete. */
    void abort();

    /** Close the connection, and run the task of {@link #onClose} as if the caller had left. */
    default void disconnect() {
        abort();
    }

    /**
     * Return the size of the parts that were sent and that the connection has not taken, since the caller reads slowly.
     *
     * @return the size in bytes; zero if the connection is closed
     */
    default long pendingBytes() {
        return 0;
    }

    /**
     * Return whether the caller's connection is closed or the response has been sent.
     *
     * @return {@code true} if nothing more can be sent
     */
    boolean isClosed();

    /**
     * Register a task that runs if the caller's connection closes before the response has been sent, also if it is
     * closed because the caller reads too slowly, but not if it is closed by {@link #abort()}.
     *
     * @param task the task to run; must not block
     */
    void onClose(Runnable task);
}
