package org.arbutusstack.kernel.service;

/** Thrown when a service cannot be registered, found, started or stopped; root of the kernel's exceptions. */
public class ServiceException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Create an exception.
     *
     * @param message what was being done and what went wrong
     */
    public ServiceException(String message) {
        super(message);
    }

    /**
     * Create an exception with a cause.
     *
     * @param message what was being done and what went wrong
     * @param cause the cause
     */
    public ServiceException(String message, Throwable cause) {
        super(message, cause);
    }
}
