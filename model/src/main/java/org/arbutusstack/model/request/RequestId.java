package org.arbutusstack.model.request;

import org.arbutusstack.kernel.Assert;

/**
 * The unique identifier of a request: the incarnation of the entry that accepted it and a number within it.
 *
 * @param incarnation the incarnation of the entry
 * @param number the number of the request within that incarnation, from zero
 */
public record RequestId(String incarnation, long number) {

    /** Create an identifier; the incarnation must have text and the number must not be negative. */
    public RequestId {
        Assert.hasText(incarnation, "incarnation");
        Assert.atLeast(number, 0, "number");
    }

    @Override
    public String toString() {
        return incarnation + "-" + number;
    }
}
