package org.arbutusstack.side.claim;

import org.arbutusstack.kernel.Assert;

/**
 * Holds the recorded outcome of a call.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param bodyKept whether the body was small enough to be kept
 * @param body the body, empty if it was not kept; not copied
 */
public record RecordedAnswer(int status, String contentType, boolean bodyKept, byte[] body) {

    /** Checks the answer. */
    public RecordedAnswer {
        Assert.notNull(contentType, "contentType");
        Assert.notNull(body, "body");
    }
}
