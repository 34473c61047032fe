package org.arbutusstack.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.testkit.Json;

/**
 * One request that runs on an engine stand-in. Its tokens are determined by the model and the prompt. Guarded by the
 * lock of {@link EngineBatch}.
 */
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

    private int prefillTokensLeft;

    private int producedTokens;

    Generation(String requestId, int urgency, JsonNode body, ResponseStream response) {
        this.requestId = requestId;
        this.urgency = urgency;
        this.model = body.path("model").asText();
        this.prompt = promptOf(body);
        this.stream = body.path("stream").asBoolean(false);
        this.maxTokens = body.path("max_tokens").asInt(DEFAULT_TOKENS);
        this.producedTokens = body.path("resume_from").asInt(0);
        this.response = response;
        this.prefillTokensLeft = prompt.split(" ").length;
    }

    static String promptOf(JsonNode body) {
        StringBuilder joined = new StringBuilder();
        body.path("messages")
                .forEach(message ->
                        joined.append(message.path("content").asText()).append(' '));
        return joined.toString();
    }

    /** Return the token at an index of the answer. Tests use it to compute the expected answer. */
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

    void skipPrefill() {
        prefillTokensLeft = 0;
    }

    void sendHead() {
        response.head(OK, stream ? "text/event-stream" : "application/json");
    }

    /** Run one step and return whether the request has completed. */
    boolean step(int prefillTokens) {
        if (prefillTokensLeft > 0) {
            prefillTokensLeft -= prefillTokens;
            return false;
        }
        if (producedTokens < maxTokens) {
            emit(token(model, prompt, producedTokens));
            producedTokens++;
        }
        if (producedTokens < maxTokens) {
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
