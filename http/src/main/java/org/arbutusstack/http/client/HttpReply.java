package org.arbutusstack.http.client;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Complete HTTP response.
 *
 * @param status the HTTP status
 * @param headers the headers, by name without regard to case; not copied
 * @param body the bytes of the body; not copied
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

    private static final int OK = 200;

    private static final int MULTIPLE_CHOICES = 300;

    /**
     * Return whether the status indicates success.
     *
     * @return {@code true} if the status is from 200 to 299
     */
    public boolean isSuccess() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }

    /**
     * Return the body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
