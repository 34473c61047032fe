package org.arbutusstack.entry.router;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.wire.frame.AnswerHeadFrame;

/** Writes answers and refusals to callers. Stateless; safe for use by any thread. */
public final class CallerResponses {

    /** The header that names the request. */
    public static final String REQUEST_ID = "X-Arbutus-Request-Id";

    private static final String JSON = "application/json";

    private CallerResponses() {}

    /**
     * Refuses a request to which nothing was answered yet.
     *
     * @param response takes the refusal
     * @param requestId the request's name; empty if it got none
     * @param refusal what the caller may conclude, and why
     */
    public static void refuse(ResponseSink response, String requestId, Refusal refusal) {
        response.head(refusal.reason().status(), JSON);
        if (!requestId.isEmpty()) {
            response.header(REQUEST_ID, requestId);
        }
        if (refusal.retryAfterSeconds() > 0) {
            response.header("Retry-After", Integer.toString(refusal.retryAfterSeconds()));
        }
        response.write(JsonCodec.write(Map.of("error", errorOf(requestId, refusal))));
        response.end();
    }

    private static Map<String, Object> errorOf(String requestId, Refusal refusal) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("kind", refusal.kind().label());
        error.put("reason", refusal.reason().label());
        error.put("message", refusal.detail());
        error.put("request_id", requestId);
        return error;
    }

    static void sendHead(CallerRequest request, AnswerHeadFrame head) {
        ResponseSink response = request.response();
        response.head(head.status(), head.contentType());
        response.header(REQUEST_ID, request.id().toString());
        response.header("X-Arbutus-Runner", head.runner());
        if (!head.modelVersion().isEmpty()) {
            response.header("X-Arbutus-Model-Version", head.modelVersion());
        }
        response.header("X-Arbutus-Ticket", Long.toString(request.ticketNumber()));
    }

    /** Ends a stream that cannot be continued, so that the caller can tell that it is not whole. */
    static void endWithError(CallerRequest request, Refusal refusal) {
        byte[] json = JsonCodec.write(Map.of("error", errorOf(request.id().toString(), refusal)));
        String event = "event: error\ndata: " + new String(json, StandardCharsets.UTF_8) + "\n\n";
        request.response().write(event.getBytes(StandardCharsets.UTF_8));
        request.response().end();
    }
}
