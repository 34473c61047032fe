package org.arbutusstack.wire;

/** Tells that a frame or a link failed; root of this layer's errors. */
public class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param message what was being done and what went wrong
     */
    public WireException(String message) {
        super(message);
    }

    /**
     * Creates an error with its cause.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
