package org.arbutusstack.audit;

/** Thrown when audit records cannot be read. */
public class AuditException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Create an exception with a message and a cause.
     *
     * @param message the operation that failed
     * @param cause the cause of the failure
     */
    public AuditException(String message, Throwable cause) {
        super(message, cause);
    }
}
