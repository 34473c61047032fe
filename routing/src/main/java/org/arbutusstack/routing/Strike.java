package org.arbutusstack.routing;

import org.arbutusstack.kernel.Assert;

/**
 * Record that a request was in flight when an engine was lost.
 *
 * @param digest the digest of the request's content
 * @param incident the identifier of the loss, the same in all processes that it is reported to
 * @param expiresAtNanos when the strike expires, in nanoseconds of the clock of this process
 */
public record Strike(String digest, String incident, long expiresAtNanos) {

    /** Validate the strike. */
    public Strike {
        Assert.hasText(digest, "digest");
        Assert.hasText(incident, "incident");
    }
}
