package org.arbutusstack.http.response;

/** Rule for which responses end with their head, whatever its fields say (RFC 9112, section 6.3). */
public final class ResponseContent {

    private static final int NO_CONTENT = 204;

    private static final int NOT_MODIFIED = 304;

    private ResponseContent() {}

    /**
     * Return whether a response has no content.
     *
     * @param method the method of the request
     * @param status the status of the response, from 200 to 599
     * @return whether it ends with its head
     */
    public static boolean isAbsent(String method, int status) {
        return "HEAD".equals(method) || status == NO_CONTENT || status == NOT_MODIFIED;
    }
}
