package org.arbutusstack.model.request;

import org.arbutusstack.kernel.Assert;

/**
 * Names a request for good: the incarnation of the entry that took it and a number there.
 *
 * @param incarnation the entry's incarnation
 * @param number the request's number at that incarnation
 */
public record RequestId(String incarnation, long number) {

    /** Checks the name. */
    public RequestId {
        Assert.hasText(incarnation, "incarnation");
        Assert.atLeast(number, 0, "number");
    }

    @Override
    public String toString() {
        return incarnation + "-" + number;
    }
}
