package org.arbutusstack.model;

/** Thrown when data cannot be encoded or decoded; the root of the exceptions of this layer. */
public class ModelException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Create an exception.
     *
     * @param message the failed operation and the reason
     */
    public ModelException(String message) {
        super(message);
    }

    /**
     * Create an exception with its cause.
     *
     * @param message the failed operation and the reason
     * @param cause the exception that made the operation fail
     */
    public ModelException(String message, Throwable cause) {
        super(message, cause);
    }
}
