package org.arbutusstack.store;

/** Tells that an answer of the key-value service could not be understood; root of this layer's errors. */
public class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
