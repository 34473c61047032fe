package org.arbutusstack.gateway.request;

import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.model.request.Refusal;

/** Writes answers in the callers' dialect. Stateless; safe for use by any thread. */
public interface CallerPort {

    /**
     * Refuses a request to which nothing was answered yet.
     *
     * @param response takes the refusal
     * @param requestId the caller's name for the request; empty if it gave none
     * @param refusal what the caller may conclude, and why
     * @param retryAfterMillis when another try may succeed, zero where that is not known
     */
    void refuse(ResponseSink response, String requestId, Refusal refusal, long retryAfterMillis);

    /**
     * Begins to pass on a runner's answer.
     *
     * @param response takes the answer
     * @param head the runner's head
     * @param lengthBytes the length of the body, negative if it is passed on part by part
     */
    void open(ResponseSink response, AnswerHead head, long lengthBytes);
}
