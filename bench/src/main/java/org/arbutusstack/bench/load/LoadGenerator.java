package org.arbutusstack.bench.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.testkit.Json;

/**
 * Sends the requests of a trace to entries in turn, each at its instant, whether or not earlier ones have ended.
 *
 * <p>To be used by one thread.
 */
public final class LoadGenerator {

    private static final long GRACE_MILLIS = 3_000;

    private final HttpClient client;

    private final List<HttpTarget> entries;

    /**
     * Creates a generator.
     *
     * @param client sends the requests
     * @param entries the callers' ports of the entries
     */
    public LoadGenerator(HttpClient client, List<HttpTarget> entries) {
        this.client = client;
        this.entries = List.copyOf(entries);
    }

    /**
     * Sends the whole trace and waits until each request has ended or is given up.
     *
     * <p>Before, the client calls a server of the tool itself, so that no request is charged with the tool's start.
     *
     * @param trace the requests in the order of their instants
     * @return what became of them
     */
    public LoadResult run(List<Arrival> trace) {
        try (WarmUpServer server = new WarmUpServer()) {
            server.start();
            play(List.of(HttpTarget.parse(server.address())), WarmUpServer.TRACE);
        }
        return play(entries, trace);
    }

    private LoadResult play(List<HttpTarget> to, List<Arrival> trace) {
        LoadResult result = new LoadResult();
        CountDownLatch left = new CountDownLatch(trace.size());
        long startNanos = System.nanoTime();
        long lastNanos = startNanos;
        for (int index = 0; index < trace.size() && !Thread.currentThread().isInterrupted(); index++) {
            Arrival arrival = trace.get(index);
            long dueNanos = startNanos + arrival.atNanos();
            sleepUntil(dueNanos);
            long giveUpNanos = dueNanos + TimeUnit.MILLISECONDS.toNanos(arrival.deadlineMillis() + GRACE_MILLIS);
            lastNanos = Math.max(lastNanos, giveUpNanos);
            result.sent(System.nanoTime() - dueNanos);
            AnswerObserver observer = new AnswerObserver(arrival, dueNanos, result, ended -> left.countDown());
            client.stream(to.get(index % to.size()), callOf(arrival), giveUpNanos, observer);
        }
        await(left, lastNanos + TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS));
        return result;
    }

    private static void sleepUntil(long dueNanos) {
        long left = dueNanos - System.nanoTime();
        while (left > 0 && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(left);
            left = dueNanos - System.nanoTime();
        }
    }

    private static void await(CountDownLatch left, long untilNanos) {
        try {
            left.await(untilNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static HttpCall callOf(Arrival arrival) {
        ObjectNode body = Json.object();
        body.put("model", arrival.target());
        body.put("stream", true);
        body.put("max_tokens", arrival.tokens());
        body.putArray("messages").addObject().put("role", "user").put("content", arrival.prompt());
        Map<String, String> headers = Map.of(
                "Content-Type",
                "application/json",
                "Priority",
                "u=" + arrival.urgency(),
                "X-Deadline-Millis",
                Long.toString(arrival.deadlineMillis()));
        return new HttpCall("POST", "/v1/chat/completions", headers, Json.write(body));
    }
}
