package org.arbutusstack.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.testkit.Json;

/** Runs one request on an engine stand-in. The tokens follow from model and prompt alone. Used under its lock. */
final class Generation {

    private static final int DEFAULT_TOKENS = 16;

    private static final int WORD_MASK = 0xffff;

    private static final int HASH_FACTOR = 31;

    private static final int OK = 200;

    private final String requestId;

    private final String model;

    private final String prompt;

    private final int urgency;

    private final boolean stream;

    private final int maxTokens;

    private final ResponseStream response;

    private final StringBuilder text = new StringBuilder();

    private int prefillLeft;

    private int produced;

    Generation(String requestId, int urgency, JsonNode body, ResponseStream response) {
        this.requestId = requestId;
        this.urgency = urgency;
        this.model = body.path("model").asText();
        this.prompt = promptOf(body);
        this.stream = body.path("stream").asBoolean(false);
        this.maxTokens = body.path("max_tokens").asInt(DEFAULT_TOKENS);
        this.produced = body.path("resume_from").asInt(0);
        this.response = response;
        this.prefillLeft = prompt.split(" ").length;
    }

    static String promptOf(JsonNode body) {
        StringBuilder joined = new StringBuilder();
        body.path("messages")
                .forEach(message ->
                        joined.append(message.path("content").asText()).append(' '));
        return joined.toString();
    }

    /** Tells the token that stands at an index, so that answers can be checked. */
    static String token(String model, String prompt, int index) {
        int seed = (model + prompt).hashCode();
        int word = (seed * HASH_FACTOR + index) * HASH_FACTOR & WORD_MASK;
        return Integer.toHexString(word) + " ";
    }

    String requestId() {
        return requestId;
    }

    String prompt() {
        return prompt;
    }

    int urgency() {
        return urgency;
    }

    boolean isAbandoned() {
        return response.isClosed();
    }

    void prefillCached() {
        prefillLeft = 0;
    }

    void open() {
        response.head(OK, stream ? "text/event-stream" : "application/json");
    }

    /** Runs one step and tells whether the request is done. */
    boolean step(int prefillTokens) {
        if (prefillLeft > 0) {
            prefillLeft -= prefillTokens;
            return false;
        }
        if (produced < maxTokens) {
            emit(token(model, prompt, produced));
            produced++;
        }
        if (produced < maxTokens) {
            return false;
        }
        finish();
        return true;
    }

    private void emit(String token) {
        if (!stream) {
            text.append(token);
            return;
        }
        ObjectNode chunk = Json.object();
        chunk.put("id", requestId);
        chunk.put("object", "chat.completion.chunk");
        chunk.put("model", model);
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", token);
        writeEvent(new String(Json.write(chunk), StandardCharsets.UTF_8));
    }

    private void finish() {
        if (stream) {
            writeEvent("[DONE]");
            response.end();
            return;
        }
        ObjectNode answer = Json.object();
        answer.put("id", requestId);
        answer.put("object", "chat.completion");
        answer.put("model", model);
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", "stop");
        answer.putObject("usage").put("completion_tokens", maxTokens);
        response.write(Json.write(answer));
        response.end();
    }

    private void writeEvent(String data) {
        response.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    void abort() {
        response.abort();
    }
}
