package org.arbutusstack.http.client;

import org.arbutusstack.kernel.Assert;

/**
 * Limits on the idle connections that a client keeps.
 *
 * @param maxIdleConnections the maximum number of idle connections per target
 * @param maxIdleMillis how long a connection may have been idle when it is reused for a repeatable call, in
 *     milliseconds
 * @param freshIdleMillis how long a connection may have been idle when it is reused for a call that is not repeatable,
 *     in milliseconds
 */
public record IdleConnectionLimits(int maxIdleConnections, long maxIdleMillis, long freshIdleMillis) {

    /** Limits that keep connections for as long as the server does. */
    public static final IdleConnectionLimits UNLIMITED_AGE =
            new IdleConnectionLimits(32, Long.MAX_VALUE / 2_000_000L, Long.MAX_VALUE / 2_000_000L);

    /** Check the limits. */
    public IdleConnectionLimits {
        Assert.atLeast(maxIdleConnections, 0, "maxIdleConnections");
        Assert.atLeast(maxIdleMillis, 0, "maxIdleMillis");
        Assert.atLeast(freshIdleMillis, 0, "freshIdleMillis");
    }
}
