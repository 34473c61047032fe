package org.arbutusstack.wire.link;

import org.arbutusstack.wire.frame.Frame;

/**
 * Carries frames to and from one peer over one connection.
 *
 * <p>Safe for use by any thread.
 *
 * @see LinkTransport
 */
public interface Link {

    /**
     * Sends a frame in the order of calls, without waiting.
     *
     * @param frame the frame
     * @return {@code false} if the link is closed or too much waits to be sent; the frame is not sent then
     */
    boolean send(Frame frame);

    /** Closes the connection; what waits to be sent is lost. */
    void close();

    /**
     * Tells whether the connection is open.
     *
     * @return whether it is
     */
    boolean isOpen();

    /**
     * Tells when something last arrived.
     *
     * @return the instant of {@link System#nanoTime()}
     */
    long lastReceivedAtNanos();

    /**
     * Names the other end for logs.
     *
     * @return its address and port
     */
    String remote();
}
