package org.arbutusstack.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.http.client.HttpResponseListener;
import org.arbutusstack.testkit.Json;

/** Listener that records the streamed answer to one request. Called by one I/O thread. */
final class AnswerObserver implements HttpResponseListener {

    private static final int OK = 200;

    private static final String EVENT = "data: ";

    private static final String DONE = "data: [DONE]";

    private static final String ERROR = "event: error";

    private final Arrival arrival;

    private final long dueNanos;

    private final LoadResult result;

    private final Consumer<AnswerObserver> onEnded;

    private final ByteArrayOutputStream refusalBody = new ByteArrayOutputStream();

    private final StringBuilder line = new StringBuilder();

    private int status;

    private int tokens;

    private long lastTokenNanos;

    private boolean done;

    private boolean errorReceived;

    AnswerObserver(Arrival arrival, long dueNanos, LoadResult result, Consumer<AnswerObserver> onEnded) {
        this.arrival = arrival;
        this.dueNanos = dueNanos;
        this.result = result;
        this.onEnded = onEnded;
    }

    @Override
    public void onHead(int responseStatus, Map<String, String> headers) {
        status = responseStatus;
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (status != OK) {
            refusalBody.writeBytes(bytes);
            return;
        }
        for (byte next : bytes) {
            if (next == '\n') {
                endLine();
            } else {
                line.append((char) next);
            }
        }
    }

    private void endLine() {
        String text = line.toString();
        line.setLength(0);
        if (text.startsWith(DONE)) {
            done = true;
        } else if (text.startsWith(ERROR)) {
            errorReceived = true;
        } else if (text.startsWith(EVENT) && !errorReceived) {
            recordToken();
        }
    }

    private void recordToken() {
        long now = System.nanoTime();
        if (tokens == 0) {
            result.recordFirstToken(now - dueNanos);
        } else {
            result.recordTokenGap(now - lastTokenNanos);
        }
        tokens++;
        lastTokenNanos = now;
    }

    @Override
    public void onEnd() {
        if (status != OK) {
            end(Outcome.REFUSED, refusalReason(refusalBody.toByteArray()));
        } else if (!done || tokens != arrival.tokens()) {
            end(Outcome.BROKEN, errorReceived ? "broken_off" : "not_whole_" + tokens + "_of_" + arrival.tokens());
        } else {
            boolean late = System.nanoTime() - dueNanos > arrival.deadlineMillis() * 1_000_000;
            end(late ? Outcome.LATE : Outcome.IN_TIME, "late");
        }
    }

    private static String refusalReason(byte[] body) {
        try {
            JsonNode error = Json.read(body).path("error");
            return error.path("kind").asText("") + "/" + error.path("reason").asText("");
        } catch (UncheckedIOException notJson) {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    @Override
    public void onFailure(HttpException failure) {
        end(Outcome.BROKEN, status == 0 ? "no_answer" : "connection_lost");
    }

    private void end(Outcome outcome, String reason) {
        result.recordOutcome(arrival, outcome, reason);
        onEnded.accept(this);
    }
}
