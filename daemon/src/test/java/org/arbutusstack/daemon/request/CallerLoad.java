package org.arbutusstack.daemon.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;

/** Load generator that sends completions to entries, alternately plain and streamed, and counts their outcomes. */
final class CallerLoad {

    static final long DEADLINE_MILLIS = 6_000;

    /** Time after its deadline within which a request's answer must have arrived at the caller. */
    static final long SLACK_MILLIS = 1_000;

    private final HttpClient client;

    private final List<CompletionCall> calls = new CopyOnWriteArrayList<>();

    CallerLoad(HttpClient client) {
        this.client = client;
    }

    /** Send a request asynchronously with the default urgency and deadline. */
    CompletionCall send(DaemonProcess entry, String prompt, int tokens, boolean stream) {
        return send(entry, prompt, tokens, stream, 3, DEADLINE_MILLIS);
    }

    CompletionCall send(
            DaemonProcess entry, String prompt, int tokens, boolean stream, int urgency, long deadlineMillis) {
        CompletionCall call = new CompletionCall(prompt, tokens, stream, urgency, deadlineMillis);
        calls.add(call);
        String body = "{\"model\":\"boot-design\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"content\":\"" + prompt + "\"}]}";
        Map<String, String> headers = Map.of(
                "Content-Type",
                "application/json",
                "X-Deadline-Millis",
                Long.toString(deadlineMillis),
                "Priority",
                "u=" + urgency);
        long timeoutNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis + 2 * SLACK_MILLIS);
        client.stream(
                new HttpTarget("127.0.0.1", entry.port("caller-port")),
                new HttpCall("POST", "/v1/chat/completions", headers, body.getBytes(StandardCharsets.UTF_8)),
                timeoutNanos,
                call);
        return call;
    }

    /** Send a number of requests, alternately plain and streamed, to the entries in turn. */
    void sendMany(List<DaemonProcess> entries, int count, int tokens) {
        for (int index = 0; index < count; index++) {
            send(entries.get(index % entries.size()), "order " + index, tokens, index % 4 < 2);
        }
    }

    boolean awaitAll() {
        return ProcessCluster.awaitTrue(TimeUnit.MILLISECONDS.toSeconds(DEADLINE_MILLIS) + 5, () -> calls.stream()
                .allMatch(CompletionCall::isEnded));
    }

    /** Return the number of response body bytes received so far. */
    long receivedBytes() {
        return calls.stream().mapToLong(CompletionCall::receivedBytes).sum();
    }

    long ended() {
        return calls.stream().filter(CompletionCall::isEnded).count();
    }

    Map<CallerOutcome, Integer> counts() {
        Map<CallerOutcome, Integer> counts = new EnumMap<>(CallerOutcome.class);
        for (CallerOutcome outcome : CallerOutcome.values()) {
            counts.put(outcome, 0);
        }
        calls.forEach(call -> counts.merge(call.outcome(), 1, Integer::sum));
        return counts;
    }

    List<CompletionCall> calls(CallerOutcome outcome) {
        List<CompletionCall> found = new ArrayList<>(calls);
        found.removeIf(call -> call.outcome() != outcome);
        return found;
    }
}
