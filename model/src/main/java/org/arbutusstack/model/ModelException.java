package org.arbutusstack.model;

/** Tells that data could not be written or read; root of this layer's errors. */
public class ModelException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param message what was being done and what went wrong
     */
    public ModelException(String message) {
        super(message);
    }

    /**
     * Creates an error with its cause.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public ModelException(String message, Throwable cause) {
        super(message, cause);
    }
}
