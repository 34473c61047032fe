package org.arbutusstack.gateway.request;

import java.util.Map;
import org.arbutusstack.gateway.runner.RunnerNotice;

/**
 * Status and headers of a runner's answer.
 *
 * @param status the HTTP status
 * @param headers the headers to forward to the caller
 * @param answerKind the kind of the answer
 * @param framed whether the end of the body is marked by its length or chunks rather than by the end of the connection
 * @param eventStream whether the body is an event stream
 * @param notice what the runner says about itself
 */
public record AnswerHead(
        int status,
        Map<String, String> headers,
        AnswerKind answerKind,
        boolean framed,
        boolean eventStream,
        RunnerNotice notice) {

    private static final int OK = 200;

    private static final int MULTIPLE_CHOICES = 300;

    /**
     * Return whether the status is a success.
     *
     * @return {@code true} for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }
}
