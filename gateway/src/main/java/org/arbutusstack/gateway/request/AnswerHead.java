package org.arbutusstack.gateway.request;

import java.util.Map;

/**
 * Holds what a runner answered before the body.
 *
 * @param status the status
 * @param headers the headers that go on to the caller
 * @param claim what the head says of the request
 * @param framed whether the end of the body can be told from the end of the connection
 * @param eventStream whether the body is a stream of events
 */
public record AnswerHead(
        int status, Map<String, String> headers, AnswerKind claim, boolean framed, boolean eventStream) {

    private static final int OK = 200;

    private static final int REDIRECT = 300;

    /**
     * Tells whether the runner answered with success.
     *
     * @return whether it did
     */
    public boolean isSuccess() {
        return status >= OK && status < REDIRECT;
    }
}
