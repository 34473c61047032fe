package org.arbutusstack.wire.link;

import java.net.InetSocketAddress;

/**
 * Transport that opens links to peers and accepts links from them.
 *
 * <p>Implementations are thread-safe.
 *
 * @see NioLinkTransport
 */
public interface LinkTransport {

    /**
     * Accept links at an address.
     *
     * @param address the address to listen on
     * @param listener the listener for the events of the accepted links
     * @throws org.arbutusstack.wire.WireException if the address cannot be listened on
     */
    void listen(InetSocketAddress address, LinkListener listener);

    /**
     * Open a link without blocking.
     *
     * @param address the address of the peer
     * @param listener the listener for the events of the link
     * @return the link, not yet established
     */
    Link connect(InetSocketAddress address, LinkListener listener);

    /** Close every link and end the transport's thread. */
    void stop();
}
