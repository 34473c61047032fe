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
 * Open-loop load generator. It sends the requests of a trace to the entries in turn, each at its scheduled time,
 * whether or not earlier ones have completed.
 *
 * <p>Not thread-safe.
 */
public final class LoadGenerator {

    private static final long GRACE_MILLIS = 3_000;

    private final HttpClient client;

    private final List<HttpTarget> entries;

    /**
     * Create a load generator.
     *
     * @param client the client that sends the requests
     * @param entries the addresses of the entries' ports for callers
     */
    public LoadGenerator(HttpClient client, List<HttpTarget> entries) {
        this.client = client;
        this.entries = List.copyOf(entries);
    }

    /**
     * Send the whole trace and wait until each request has completed or timed out.
     *
     * <p>Before that, the client sends requests to a local {@link WarmUpServer}, so that the latencies don't include
     * the initialisation of the client.
     *
     * @param trace the requests, ordered by the time at which they are sent
     * @return the outcomes and latencies
     */
    public LoadResult run(List<Arrival> trace) {
        try (WarmUpServer server = new WarmUpServer()) {
            server.start();
            replay(List.of(HttpTarget.parse(server.address())), WarmUpServer.TRACE);
        }
        return replay(entries, trace);
    }

    private LoadResult replay(List<HttpTarget> targets, List<Arrival> trace) {
        LoadResult result = new LoadResult();
        CountDownLatch remaining = new CountDownLatch(trace.size());
        long startNanos = System.nanoTime();
        long lastNanos = startNanos;
        for (int index = 0; index < trace.size() && !Thread.currentThread().isInterrupted(); index++) {
            Arrival arrival = trace.get(index);
            long dueNanos = startNanos + arrival.atNanos();
            sleepUntil(dueNanos);
            long giveUpNanos = dueNanos + TimeUnit.MILLISECONDS.toNanos(arrival.deadlineMillis() + GRACE_MILLIS);
            lastNanos = Math.max(lastNanos, giveUpNanos);
            result.recordSendLag(System.nanoTime() - dueNanos);
            AnswerObserver observer = new AnswerObserver(arrival, dueNanos, result, observed -> remaining.countDown());
            client.stream(targets.get(index % targets.size()), httpCall(arrival), giveUpNanos, observer);
        }
        await(remaining, lastNanos + TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS));
        return result;
    }

    private static void sleepUntil(long dueNanos) {
        long remaining = dueNanos - System.nanoTime();
        while (remaining > 0 && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(remaining);
            remaining = dueNanos - System.nanoTime();
        }
    }

    private static void await(CountDownLatch remaining, long untilNanos) {
        try {
            remaining.await(untilNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static HttpCall httpCall(Arrival arrival) {
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
