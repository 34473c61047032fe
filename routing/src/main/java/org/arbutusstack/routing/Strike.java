package org.arbutusstack.routing;

import org.arbutusstack.kernel.Assert;

/**
 * Tells that a request was in flight when an engine was lost.
 *
 * @param digest the digest of the request's content
 * @param incident the loss, named alike by all who hear of it
 * @param expiresAtNanos when it is forgotten, an instant of this process's clock
 */
public record Strike(String digest, String incident, long expiresAtNanos) {

    /** Checks the strike. */
    public Strike {
        Assert.hasText(digest, "digest");
        Assert.hasText(incident, "incident");
    }
}
