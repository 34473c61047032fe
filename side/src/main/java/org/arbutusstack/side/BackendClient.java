package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.http.client.HttpResponseListener;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.WorkFrame;

/** Client of the backend server: sends work and orders, and publishes the responses as events. Thread-safe. */
final class BackendClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    /** Many times the size of what a backend server says of its load or of an order. */
    private static final int MAX_REPLY_BYTES = 1_048_576;

    private final HttpClient client;

    private final HttpTarget target;

    private final Clock clock;

    private final long orderTimeoutMillis;

    private final Consumer<SideEvent> events;

    BackendClient(
            HttpClient client, HttpTarget target, Clock clock, long orderTimeoutMillis, Consumer<SideEvent> events) {
        this.client = Assert.notNull(client, "client");
        this.target = Assert.notNull(target, "target");
        this.clock = Assert.notNull(clock, "clock");
        this.orderTimeoutMillis = Assert.atLeast(orderTimeoutMillis, 1, "orderTimeoutMillis");
        this.events = Assert.notNull(events, "events");
    }

    HttpClient.Cancellable send(WorkItem work) {
        WorkFrame frame = work.frame();
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put("X-Request-Id", frame.id().toString());
        headers.put("Priority", "u=" + frame.priority().urgency());
        if (!frame.idempotencyKey().isEmpty()) {
            headers.put("Idempotency-Key", frame.idempotencyKey());
        }
        byte[] body = frame.model().isEmpty() ? frame.body() : engineBody(work);
        HttpCall call = new HttpCall(frame.method(), frame.path(), headers, body);
        return client.stream(target, call, work.deadlineNanos(), new WorkListener(work, events));
    }

    private static byte[] engineBody(WorkItem work) {
        try {
            ObjectNode body = (ObjectNode) MAPPER.readTree(work.frame().body());
            body.put("model", work.frame().model());
            body.put("version", work.modelVersion());
            if (!work.adapterKey().isEmpty()) {
                body.put("adapter", work.adapterKey());
            }
            if (work.frame().resumeOffset() > 0) {
                body.put("resume_from", work.frame().resumeOffset());
            }
            return body.toString().getBytes(StandardCharsets.UTF_8);
        } catch (IOException | ClassCastException malformed) {
            throw new SideException("Could not read the body of " + work.frame().id(), malformed);
        }
    }

    void sendOrder(EngineOrder order) {
        client.call(
                        target,
                        HttpCall.post("/orders", order.json()),
                        clock.deadlineNanos(orderTimeoutMillis),
                        MAX_REPLY_BYTES)
                .whenComplete((reply, failure) -> {
                    String detail = failure == null ? null : String.valueOf(failure.getMessage());
                    if (failure == null && !reply.isSuccess()) {
                        detail = "status " + reply.status() + ": " + reply.text();
                    }
                    events.accept(new SideEvent.OrderEnded(order, detail));
                });
    }

    void cancel(WorkItem work) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("request_id", work.frame().id().toString());
        byte[] json = body.toString().getBytes(StandardCharsets.UTF_8);
        client.call(target, HttpCall.post("/cancel", json), clock.deadlineNanos(CALL_TIMEOUT_MILLIS), MAX_REPLY_BYTES);
    }

    /** Close the idle connections to a backend server that stopped responding on one of its connections. */
    void closeIdleConnections() {
        client.closeIdleConnections(target);
    }

    void requestLoad() {
        long requestedAtNanos = clock.nowNanos();
        client.call(target, HttpCall.get("/load"), clock.deadlineNanos(CALL_TIMEOUT_MILLIS), MAX_REPLY_BYTES)
                .whenComplete((reply, failure) -> {
                    boolean usable = failure == null && reply.isSuccess();
                    events.accept(new SideEvent.LoadReported(usable ? parse(reply.body()) : null, requestedAtNanos));
                });
    }

    private static JsonNode parse(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException malformed) {
            return null;
        }
    }

    /** Listener that publishes the parts of an answer as events. */
    private record WorkListener(WorkItem work, Consumer<SideEvent> events) implements HttpResponseListener {

        @Override
        public void onHead(int status, Map<String, String> headers) {
            String contentType = headers.getOrDefault("content-type", "application/octet-stream");
            events.accept(new SideEvent.BackendHead(work, status, contentType));
        }

        @Override
        public void onBytes(byte[] bytes) {
            events.accept(new SideEvent.BackendBytes(work, bytes));
        }

        @Override
        public void onEnd() {
            events.accept(new SideEvent.BackendEnded(work));
        }

        @Override
        public void onFailure(HttpException failure) {
            events.accept(new SideEvent.BackendFailed(work, failure));
        }
    }
}
