package org.arbutusstack.entry;

/** Root of the exceptions thrown by the entry. */
public class EntryException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Create a new {@code EntryException}.
     *
     * @param message the operation that failed and why
     * @param cause the cause
     */
    public EntryException(String message, Throwable cause) {
        super(message, cause);
    }
}
