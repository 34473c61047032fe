package org.arbutusstack.ledger;

/** Thrown when the ticket log cannot be read or is inconsistent; the root of the exceptions of this layer. */
public class LedgerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Create an exception.
     *
     * @param message the failed operation and the reason
     */
    public LedgerException(String message) {
        super(message);
    }

    /**
     * Create an exception with its cause.
     *
     * @param message the failed operation and the reason
     * @param cause the exception that made the operation fail
     */
    public LedgerException(String message, Throwable cause) {
        super(message, cause);
    }
}
