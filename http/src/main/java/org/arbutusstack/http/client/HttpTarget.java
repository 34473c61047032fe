package org.arbutusstack.http.client;

import java.net.URI;
import org.arbutusstack.kernel.Assert;

/**
 * Names a server to call.
 *
 * @param address the IP number or host name
 * @param port the port
 */
public record HttpTarget(String address, int port) {

    /** Checks the parts. */
    public HttpTarget {
        Assert.hasText(address, "address");
        Assert.atLeast(port, 1, "port");
    }

    /**
     * Reads an address of the form {@code host:port}.
     *
     * @param text the address
     * @return the target
     */
    public static HttpTarget parse(String text) {
        Assert.hasText(text, "text");
        int colon = text.lastIndexOf(':');
        Assert.isTrue(colon > 0, "'text' must be of the form host:port but is " + text);
        return new HttpTarget(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Writes the target as a URI.
     *
     * @return the URI of the server's root
     */
    public URI uri() {
        return URI.create("http://" + this);
    }

    @Override
    public String toString() {
        return address + ":" + port;
    }
}
