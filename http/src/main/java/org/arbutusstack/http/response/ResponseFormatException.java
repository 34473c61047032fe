package org.arbutusstack.http.response;

/** Thrown when bytes do not conform to the grammar of HTTP/1.1 responses, so that none of them can be trusted. */
public final class ResponseFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Create an exception.
     *
     * @param message what does not conform to the grammar
     */
    public ResponseFormatException(String message) {
        super(message);
    }
}
