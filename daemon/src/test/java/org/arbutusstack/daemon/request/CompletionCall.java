package org.arbutusstack.daemon.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.http.client.HttpResponseListener;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.engine.EngineStandIn;

/** One completion: collects its response and classifies the outcome. */
final class CompletionCall implements HttpResponseListener {

    private static final String DONE = "data: [DONE]";

    private final String expected;

    private final boolean stream;

    private final int urgency;

    private final long sentNanos = System.nanoTime();

    private final long lateAfterNanos;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private volatile String requestId = "";

    private volatile String runner = "";

    private volatile CallerOutcome outcome = CallerOutcome.UNANSWERED;

    private volatile long endedNanos;

    CompletionCall(String prompt, int tokens, boolean stream, int urgency, long deadlineMillis) {
        this.expected = EngineStandIn.expectedText("boot-design", prompt, tokens);
        this.stream = stream;
        this.urgency = urgency;
        this.lateAfterNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis + CallerLoad.SLACK_MILLIS);
    }

    String requestId() {
        return requestId;
    }

    int urgency() {
        return urgency;
    }

    String runner() {
        return runner;
    }

    long sentNanos() {
        return sentNanos;
    }

    CallerOutcome outcome() {
        return outcome;
    }

    boolean isEnded() {
        return endedNanos != 0;
    }

    double millis() {
        return (endedNanos - sentNanos) / 1e6;
    }

    int receivedBytes() {
        return body.size();
    }

    String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        requestId = headers.getOrDefault("x-arbutus-request-id", "");
        runner = headers.getOrDefault("x-arbutus-runner", "");
    }

    @Override
    public void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        end(System.nanoTime() - lateAfterNanos > 0 ? CallerOutcome.UNANSWERED : classify());
    }

    @Override
    public void onFailure(HttpException failure) {
        end(System.nanoTime() - lateAfterNanos > 0 ? CallerOutcome.UNANSWERED : CallerOutcome.CONNECTION_LOST);
    }

    private void end(CallerOutcome result) {
        outcome = result;
        endedNanos = System.nanoTime();
    }

    private CallerOutcome classify() {
        String text = text();
        if (text.contains("\"kind\":\"not_run\"")) {
            return text.contains(DONE) ? CallerOutcome.WRONG : CallerOutcome.NOT_RUN;
        }
        if (text.contains("\"kind\":\"outcome_unknown\"")) {
            return text.contains(DONE) ? CallerOutcome.WRONG : CallerOutcome.OUTCOME_UNKNOWN;
        }
        return expected.equals(stream ? joinStreamedContent(text) : readContent(text))
                ? CallerOutcome.WHOLE
                : CallerOutcome.WRONG;
    }

    private static String readContent(String text) {
        return Json.read(text.getBytes(StandardCharsets.UTF_8))
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
    }

    private static String joinStreamedContent(String text) {
        StringBuilder joined = new StringBuilder();
        boolean done = false;
        for (String event : text.split("\n\n")) {
            if (event.equals(DONE)) {
                done = true;
            } else if (event.startsWith("data: ")) {
                byte[] json = event.substring("data: ".length()).getBytes(StandardCharsets.UTF_8);
                joined.append(Json.read(json)
                        .path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText());
            }
        }
        return done ? joined.toString() : "no end";
    }
}
