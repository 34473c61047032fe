package org.arbutusstack.http.client;

/**
 * Thrown when a call receives no complete response; reports whether the call may have reached the server. Root of this
 * layer's exceptions.
 */
public class HttpException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    /**
     * Create an exception.
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
     * Return whether the call may have reached the server.
     *
     * @return {@code false} only if the call certainly has not reached the server and will not
     */
    public boolean maybeSent() {
        return maybeSent;
    }
}
