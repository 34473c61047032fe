package org.arbutusstack.http.client;

/**
 * Thrown when the bytes that a server sent are no response by the grammar of HTTP/1.1. The server may have run the
 * call; that it answered, if wrongly, shows that it has not crashed.
 */
public final class MalformedResponseException extends HttpException {

    private static final long serialVersionUID = 1L;

    /**
     * Create an exception.
     *
     * @param message what was being done and what does not conform to the grammar
     * @param cause the cause
     */
    public MalformedResponseException(String message, Throwable cause) {
        super(message, true, cause);
    }
}
