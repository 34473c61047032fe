package org.arbutusstack.wire.link;

import org.arbutusstack.wire.frame.Frame;

/**
 * Bidirectional channel for frames to and from one peer, over one connection.
 *
 * <p>Implementations are thread-safe.
 *
 * @see LinkTransport
 */
public interface Link {

    /**
     * Send a frame without blocking; frames are sent in the order of the calls.
     *
     * @param frame the frame to send
     * @return {@code true} if the frame was queued, {@code false} if the link is closed, its peer is not yet
     *     authenticated or too many bytes are queued
     */
    boolean send(Frame frame);

    /** Close the connection; queued frames are discarded. */
    void close();

    /**
     * Return whether the link is open.
     *
     * @return {@code true} unless the link is closed; also while it is being established
     */
    boolean isOpen();

    /**
     * Return when data was last received.
     *
     * @return the instant of {@link System#nanoTime()}, initially that of the creation of the link
     */
    long lastReceivedAtNanos();

    /**
     * Return the name of the peer for log records.
     *
     * @return the address and port of the peer
     */
    String remote();
}
