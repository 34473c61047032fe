package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a runner that is sound unless its behavior says otherwise. */
final class RunnerStandIn implements AutoCloseable {
    /** Answers a request that the runner has accepted; returns whether the connection stays open. */
    interface Behavior {
        boolean run(Http.Message request, Socket connection, RunnerStandIn runner) throws Exception;
    }

    private static final int SPOILT_EVERY = 50;

    final String id;
    final String service;
    final String zone;
    final String address;
    final long born = System.currentTimeMillis();
    final List<String> models;
    /** The requests that this runner began to work on, by Request-Id. */
    final Queue<String> ran = new ConcurrentLinkedQueue<>();
    volatile Behavior behavior;
    private final Http.Server server;
    private final Report report;

    RunnerStandIn(String ip, String id, String service, String zone, List<String> models, Report report,
            Behavior behavior) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.models = models;
        this.report = report;
        this.behavior = behavior;
        this.server = new Http.Server(ip, 0, this::handle);
        this.address = ip + ":" + server.port();
    }

    /** The runner's entry in the store. */
    String entry() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("id", id);
        entry.put("service", service);
        entry.put("address", address);
        entry.put("zone", zone);
        entry.put("version", "1");
        entry.put("slots", models.isEmpty() ? 6 : 64);
        entry.put("state", "ready");
        entry.put("cold-remaining-ms", 0L);
        entry.put("seq", 0L);
        entry.put("born", born);
        if (!models.isEmpty()) {
            entry.put("models", models());
        }
        return Json.write(entry);
    }

    private List<Map<String, Object>> models() {
        return models.stream()
                .map(name -> Map.<String, Object>of("name", name, "version", 1L, "adapters", List.of()))
                .toList();
    }

    private boolean handle(Http.Message request, Socket connection) throws Exception {
        String path = request.target().replaceFirst("\\?.*", "");
        Map<String, String> json = Map.of("Content-Type", "application/json", "Instance-Id", id);
        if (path.equals("/report")) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("stage", "unified");
            body.put("born", born);
            body.put("state", "ready");
            body.put("models", models());
            body.put("busy", false);
            body.put("seq", 0L);
            body.put("queue-depth", 0L);
            body.put("active", 0L);
            body.put("kv-used", 0L);
            body.put("kv-total", 147_322L);
            body.put("handles", 0L);
            body.put("runs", List.of());
            body.put("pending", List.of());
            Http.answer(connection, 200, json, Json.write(body).getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (path.equals("/health")) {
            Http.answer(connection, 200, json, "{}".getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (path.equals("/order")) {
            Http.answer(connection, 200, json, "{}".getBytes(StandardCharsets.UTF_8));
            return true;
        }
        String requestId = request.header("Request-Id");
        String target = request.header("Target-Instance");
        if (!target.isEmpty() && !target.equals(id)) {
            Http.answer(connection, 421, Map.of("Request-Id", requestId, "Not-Executed", "1", "Instance-Id", id),
                    new byte[0]);
            return true;
        }
        ran.add(requestId);
        report.line("runner " + id + " runs " + request.method() + " " + request.target() + " request=" + requestId
                + " body=" + request.body().length + " last-event-id=" + request.header("Last-Event-Id"));
        return behavior.run(request, connection, this);
    }

    String seal(String requestId) {
        return "3e1b.07." + Integer.toHexString((id + requestId).hashCode());
    }

    Map<String, String> headers(Http.Message request, String contentType) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", request.header("Request-Id"));
        headers.put("Response-Seal", seal(request.header("Request-Id")));
        headers.put("Instance-Id", id);
        headers.put("Content-Type", contentType);
        return headers;
    }

    /** Write the head of an answer whose body follows in a form that the headers name. */
    void head(Http.Message request, Socket connection, String contentType, Map<String, String> more)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers(request, contentType).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        more.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        write(connection, head.append("\r\n").toString());
    }

    static void write(Socket connection, String text) throws IOException {
        OutputStream out = connection.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void chunk(Socket connection, String text) throws IOException {
        write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** The event with a number of the stream that answers a request; the same at every runner. */
    static String event(String requestId, int number) {
        return "id: " + number + "\ndata: " + requestId + " token " + number + "\n\n";
    }

    /** Every fiftieth answer is spoilt, which is the share that the site's garble names (x = 0.02). */
    static Behavior spoilSome(Behavior spoilt, Behavior sound) {
        AtomicInteger answers = new AtomicInteger();
        return (request, connection, runner) -> {
            boolean spoil = answers.incrementAndGet() % SPOILT_EVERY == 0;
            if (spoil) {
                runner.report.line("runner " + runner.id + " spoils its answer to request="
                        + request.header("Request-Id"));
            }
            return (spoil ? spoilt : sound).run(request, connection, runner);
        };
    }

    /** A sound plain answer of 800 bytes after the given work. */
    static Behavior plain(long workMillis) {
        return (request, connection, runner) -> {
            Thread.sleep(workMillis);
            byte[] body = (request.header("Request-Id") + " ").repeat(800).substring(0, 800)
                    .getBytes(StandardCharsets.UTF_8);
            Http.answer(connection, 200, runner.headers(request, "application/json"), body);
            return true;
        };
    }

    /** A sound stream of events, which goes on after Last-Event-Id. */
    static Behavior stream(int events, long gapMillis) {
        return (request, connection, runner) -> {
            String last = request.header("Last-Event-Id");
            runner.head(request, connection, "text/event-stream", Map.of("Transfer-Encoding", "chunked"));
            for (int number = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; number <= events; number++) {
                Thread.sleep(gapMillis);
                chunk(connection, event(request.header("Request-Id"), number));
            }
            write(connection, "0\r\n\r\n");
            return true;
        };
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
