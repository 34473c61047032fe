package org.arbutusstack.ledger;

/** Tells that the ticket log could not be read or is not consistent; root of this layer's errors. */
public class LedgerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param message what was being done and what went wrong
     */
    public LedgerException(String message) {
        super(message);
    }

    /**
     * Creates an error with its cause.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public LedgerException(String message, Throwable cause) {
        super(message, cause);
    }
}
