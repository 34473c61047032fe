package org.arbutusstack.http.client;

import java.net.URI;
import org.arbutusstack.kernel.Assert;

/**
 * Address of a server to call.
 *
 * @param address the IP number or host name
 * @param port the port
 */
public record HttpTarget(String address, int port) {

    private static final int MAX_PORT = 65_535;

    /** Check the components. */
    public HttpTarget {
        Assert.hasText(address, "address");
        Assert.atLeast(port, 1, "port");
        Assert.isTrue(port <= MAX_PORT, "'port' must be at most " + MAX_PORT + " but is " + port);
    }

    /**
     * Parse an address of the form {@code host:port}.
     *
     * @param text the text to parse
     * @return the target
     */
    public static HttpTarget parse(String text) {
        Assert.hasText(text, "text");
        int colon = text.lastIndexOf(':');
        Assert.isTrue(colon > 0, "'text' must be of the form host:port but is " + text);
        return new HttpTarget(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Return the target as a URI.
     *
     * @return the root URI of the server, with the scheme {@code http}
     */
    public URI uri() {
        return URI.create("http://" + this);
    }

    @Override
    public String toString() {
        return address + ":" + port;
    }
}
