package org.arbutusstack.http.client;

import java.nio.charset.StandardCharsets;

/**
 * Holds a whole answer.
 *
 * @param status the status
 * @param body the body; not copied
 */
public record HttpReply(int status, byte[] body) {

    private static final int OK = 200;

    private static final int REDIRECT = 300;

    /**
     * Tells whether the status is one of success.
     *
     * @return whether it is
     */
    public boolean isSuccess() {
        return status >= OK && status < REDIRECT;
    }

    /**
     * Reads the body as text.
     *
     * @return the body in UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
