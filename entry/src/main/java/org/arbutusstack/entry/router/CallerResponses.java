package org.arbutusstack.entry.router;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.wire.frame.AnswerHeadFrame;

/** Utility for writing answers and refusals to callers. Stateless and thread-safe. */
public final class CallerResponses {

    /** Response header that carries the request id. */
    public static final String REQUEST_ID = "X-Arbutus-Request-Id";

    private static final String JSON = "application/json";

    private CallerResponses() {}

    /**
     * Send a refusal for a request whose response has not been started.
     *
     * @param response the response to write to
     * @param requestId the request id; empty if none has been assigned
     * @param refusal the reason for the refusal and whether the request may have run
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

    /** End a stream that cannot be continued with an error event, so that the caller can tell it is incomplete. */
    static void endWithError(CallerRequest request, Refusal refusal) {
        byte[] json = JsonCodec.write(Map.of("error", errorOf(request.id().toString(), refusal)));
        String event = "event: error\ndata: " + new String(json, StandardCharsets.UTF_8) + "\n\n";
        request.response().write(event.getBytes(StandardCharsets.UTF_8));
        request.response().end();
    }
}
