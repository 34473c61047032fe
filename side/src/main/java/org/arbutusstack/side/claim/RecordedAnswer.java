package org.arbutusstack.side.claim;

import org.arbutusstack.kernel.Assert;

/**
 * Recorded outcome of a call.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param bodyKept whether the body was small enough to be recorded
 * @param body the body, empty if it was not recorded; the array is not copied
 */
public record RecordedAnswer(int status, String contentType, boolean bodyKept, byte[] body) {

    /** Create an answer, whose content type and body must not be {@code null}. */
    public RecordedAnswer {
        Assert.notNull(contentType, "contentType");
        Assert.notNull(body, "body");
    }
}
