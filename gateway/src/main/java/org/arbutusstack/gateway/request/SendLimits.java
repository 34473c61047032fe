package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.runner.PermitClient;
import org.arbutusstack.kernel.Assert;

/**
 * Limits on what an entry sends to runners.
 *
 * @param retries the limits on retries
 * @param permits the permits of runners that limit their requests
 */
public record SendLimits(RetryLimits retries, PermitClient permits) {

    /** Check that both are present. */
    public SendLimits {
        Assert.notNull(retries, "retries");
        Assert.notNull(permits, "permits");
    }
}
