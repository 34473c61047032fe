package org.arbutusstack.entry;

/** Tells that an entry could not do its duty; root of this layer's errors. */
public class EntryException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error with its cause.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public EntryException(String message, Throwable cause) {
        super(message, cause);
    }
}
