package org.arbutusstack.http.client;

/** Tells that a call got no whole answer, and whether it may have reached the server; root of this layer's errors. */
public class HttpException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    /**
     * Creates an error.
     *
     * @param message what was being done and what went wrong
     * @param maybeSent whether the call may have reached the server
     * @param cause the cause; may be {@code null}
     */
    public HttpException(String message, boolean maybeSent, Throwable cause) {
        super(message, cause);
        this.maybeSent = maybeSent;
    }

    /**
     * Tells whether the call may have reached the server.
     *
     * @return {@code false} only if it certainly has not and will not
     */
    public boolean maybeSent() {
        return maybeSent;
    }
}
