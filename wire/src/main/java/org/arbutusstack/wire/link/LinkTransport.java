package org.arbutusstack.wire.link;

import java.net.InetSocketAddress;

/**
 * Opens links to peers and takes links from them.
 *
 * <p>Implementations are safe for use by any thread.
 *
 * @see NioLinkTransport
 */
public interface LinkTransport {

    /**
     * Takes links.
     *
     * @param address where to listen
     * @param listener learns what happens on the links taken
     * @throws org.arbutusstack.wire.WireException if the address cannot be listened on
     */
    void listen(InetSocketAddress address, LinkListener listener);

    /**
     * Opens a link without waiting.
     *
     * @param address the peer
     * @param listener learns what happens on the link
     * @return the link, not yet open
     */
    Link connect(InetSocketAddress address, LinkListener listener);

    /** Closes every link and ends the transport's thread. */
    void stop();
}
