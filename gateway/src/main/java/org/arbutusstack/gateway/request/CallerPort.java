package org.arbutusstack.gateway.request;

import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.model.request.Refusal;

/** Writer of answers in the format that callers expect. Stateless; safe for use by any thread. */
public interface CallerPort {

    /**
     * Refuse a request that has not been answered.
     *
     * @param response receives the refusal
     * @param requestId the caller's identifier of the request; empty if it sent none
     * @param refusal whether the request was run, and the reason of the refusal
     * @param retryAfterMillis the time after which a retry may succeed, in milliseconds; zero if unknown
     */
    void refuse(ResponseSink response, String requestId, Refusal refusal, long retryAfterMillis);

    /**
     * Start relaying the answer of a runner.
     *
     * @param response receives the answer
     * @param head the head of the runner's answer
     * @param lengthBytes the length of the body in bytes; negative if it is relayed in parts
     */
    void open(ResponseSink response, AnswerHead head, long lengthBytes);
}
