package org.arbutusstack.store;

/** Thrown when a response of the key-value service is malformed; the root of the exceptions of this layer. */
public class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Create an exception.
     *
     * @param message the failed operation and the reason
     * @param cause the exception that made the operation fail
     */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
