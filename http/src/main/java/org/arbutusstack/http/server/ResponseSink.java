package org.arbutusstack.http.server;

/**
 * Takes the answer to one request.
 *
 * <p>Implementations are safe for use by any thread and never block.
 *
 * @see ResponseStream
 */
public interface ResponseSink {

    /**
     * Sets the status and the content type; to be called before the first {@link #write}.
     *
     * @param status the status
     * @param contentType the content type
     */
    void head(int status, String contentType);

    /**
     * Sets the status alone; to be called before the first {@link #write}.
     *
     * @param status the status
     */
    default void status(int status) {
        throw new UnsupportedOperationException("status without content type");
    }

    /** Closes the connection after this answer and tells the caller so. */
    default void closeConnectionAfterResponse() {}

    /**
     * Sets a header; to be called before the first {@link #write}.
     *
     * @param name the header's name
     * @param value its value
     */
    void header(String name, String value);

    /**
     * Sends a part.
     *
     * @param bytes the part; not copied
     * @return {@code false} if the caller is gone or reads too slowly
     */
    boolean write(byte[] bytes);

    /** Ends the answer after the parts sent. */
    void end();

    /** Closes the connection, so that the caller sees that the answer is not whole. */
    void abort();

    /**
     * Tells whether the caller's connection is closed or the answer is sent.
     *
     * @return whether it is
     */
    boolean isClosed();

    /**
     * Runs a task if the caller's connection closes before the answer is sent.
     *
     * @param task the task; must not block
     */
    void onClose(Runnable task);
}
