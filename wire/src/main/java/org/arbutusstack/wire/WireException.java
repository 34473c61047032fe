package org.arbutusstack.wire;

/** Thrown when a frame cannot be encoded or decoded, or when a link fails; root of this layer's exceptions. */
public class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Create an exception.
     *
     * @param message what was being done and what went wrong
     */
    public WireException(String message) {
        super(message);
    }

    /**
     * Create an exception with a cause.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
