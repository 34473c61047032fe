package org.arbutusstack.wire.link;

import org.arbutusstack.wire.WireException;
import org.arbutusstack.wire.frame.Frame;

/**
 * Learns what happens on links.
 *
 * <p>Called by the transport's thread; must not block.
 */
public interface LinkListener {

    /**
     * Learns that a connection stands.
     *
     * @param link the link
     */
    void onOpen(Link link);

    /**
     * Takes a frame.
     *
     * @param link the link
     * @param frame the frame
     */
    void onFrame(Link link, Frame frame);

    /**
     * Learns that a frame could not be read; the peer has been told and the link goes on.
     *
     * @param link the link
     * @param failure what was wrong
     */
    default void onMalformed(Link link, WireException failure) {}

    /**
     * Learns that a connection is closed, or could not be opened; the last call for a link.
     *
     * @param link the link
     */
    void onClosed(Link link);
}
