package org.arbutusstack.side;

/** Thrown when a side fails; the root of the exceptions of this module. */
public class SideException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Create a new exception.
     *
     * @param message what failed and why
     * @param cause the root cause
     */
    public SideException(String message, Throwable cause) {
        super(message, cause);
    }
}
