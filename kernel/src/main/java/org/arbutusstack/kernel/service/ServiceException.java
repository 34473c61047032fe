package org.arbutusstack.kernel.service;

/** Tells that a service could not be registered, found, started or stopped; root of the kernel's errors. */
public class ServiceException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param message what was being done and what went wrong
     */
    public ServiceException(String message) {
        super(message);
    }

    /**
     * Creates an error with its cause.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public ServiceException(String message, Throwable cause) {
        super(message, cause);
    }
}
