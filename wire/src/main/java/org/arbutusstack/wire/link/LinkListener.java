package org.arbutusstack.wire.link;

import org.arbutusstack.wire.WireException;
import org.arbutusstack.wire.frame.Frame;

/**
 * Callback interface for the events of links.
 *
 * <p>Called by the transport's thread; implementations must not block.
 */
public interface LinkListener {

    /**
     * Handle a link whose peer has been authenticated; frames can be sent from now on.
     *
     * @param link the link
     */
    void onOpen(Link link);

    /**
     * Handle a received frame.
     *
     * @param link the link
     * @param frame the received frame
     */
    void onFrame(Link link, Frame frame);

    /**
     * Handle a frame that could not be decoded. A {@link org.arbutusstack.wire.frame.ProtocolErrorFrame} has been sent
     * to the peer, and the link remains open.
     *
     * @param link the link
     * @param failure the cause
     */
    default void onMalformed(Link link, WireException failure) {}

    /**
     * Handle a link that has been closed or could not be established. This is the last call for a link.
     *
     * @param link the link
     */
    void onClosed(Link link);
}
