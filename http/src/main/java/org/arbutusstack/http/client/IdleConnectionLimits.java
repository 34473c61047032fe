package org.arbutusstack.http.client;

import org.arbutusstack.kernel.Assert;

/**
 * Bounds the connections that a client keeps.
 *
 * @param mostIdle the idle connections kept for a target
 * @param longestIdleMillis how long a connection may have been idle to carry a call that may be repeated
 * @param freshIdleMillis how long it may have been idle to carry one that may not
 */
public record IdleConnectionLimits(int mostIdle, long longestIdleMillis, long freshIdleMillis) {

    /** Keeps connections as long as the other end does. */
    public static final IdleConnectionLimits UNLIMITED_AGE =
            new IdleConnectionLimits(32, Long.MAX_VALUE / 2_000_000L, Long.MAX_VALUE / 2_000_000L);

    /** Checks the limits. */
    public IdleConnectionLimits {
        Assert.atLeast(mostIdle, 0, "mostIdle");
        Assert.atLeast(longestIdleMillis, 0, "longestIdleMillis");
        Assert.atLeast(freshIdleMillis, 0, "freshIdleMillis");
    }
}
