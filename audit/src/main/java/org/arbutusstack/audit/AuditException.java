package org.arbutusstack.audit;

/** Tells that a record could not be written or read; root of this layer's errors. */
public class AuditException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error with its cause.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public AuditException(String message, Throwable cause) {
        super(message, cause);
    }
}
