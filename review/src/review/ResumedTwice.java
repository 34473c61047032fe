package review;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client resumes a stream, with header names in lower case; the runner breaks off, and the entry resumes it too. */
final class ResumedTwice {
    private static final int EVENTS = 40;
    private static final int REQUESTS = 1800;
    private static final int CLIENTS = 24;
    private static final int CLIENT_HAS = 5;
    private static final int EVENTS_BEFORE_BREAK = 5;
    /** The machines of the entries; the order of the headers is drawn anew in each process. */
    private static final int[] ENTRIES = {1, 4, 5, 6, 7, 8};

    private ResumedTwice() {}

    /** Go on after Last-Event-Id, and break off in the middle of an event as a runner does that crashes. */
    private static boolean breaking(Http.Message request, Socket connection, RunnerStandIn runner) throws Exception {
        String id = request.header("Request-Id");
        String last = request.header("Last-Event-Id");
        runner.head(request, connection, "text/event-stream", Map.of("Transfer-Encoding", "chunked"));
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        for (int number = first; number < first + EVENTS_BEFORE_BREAK; number++) {
            Thread.sleep(10);
            RunnerStandIn.chunk(connection, RunnerStandIn.event(id, number));
        }
        RunnerStandIn.chunk(connection, RunnerStandIn.event(id, first + EVENTS_BEFORE_BREAK).substring(0, 5));
        connection.setSoLinger(true, 0);
        connection.close();
        return false;
    }

    private static Map<String, String> headers(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        Configs.modelHeaders(id, 20_000).forEach((name, value) -> headers.put(name.toLowerCase(), value));
        headers.put("last-event-id", Integer.toString(CLIENT_HAS));
        headers.put("length-hint", "80");
        return headers;
    }

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        deployment.config(Configs.stubbleStud());
        RunnerStandIn sound = deployment.runner(2, "i-sound", "stitch-lm", List.of("m0"),
                RunnerStandIn.stream(EVENTS, 10));
        RunnerStandIn other = deployment.runner(3, "i-breaking", "stitch-lm", List.of("m0"),
                trouble
                        ? RunnerStandIn.spoilSome(ResumedTwice::breaking, RunnerStandIn.stream(EVENTS, 10))
                        : RunnerStandIn.stream(EVENTS, 10));
        deployment.side(2, sound);
        deployment.side(3, other);
        for (int machine : ENTRIES) {
            deployment.entry(machine);
        }
        for (int machine : ENTRIES) {
            deployment.awaitReady(machine);
        }
        Thread.sleep(3_000);
        int wrongAnswers = Parallel.run(CLIENTS, REQUESTS, index -> {
            String id = "squad" + index;
            deployment.report.line("client sends POST /squad-batch/x request=" + id + " last-event-id=" + CLIENT_HAS
                    + " entry=" + ENTRIES[index % ENTRIES.length]);
            int entry = ENTRIES[index % ENTRIES.length];
            Client.Answer answer = Client.ask(deployment.ip(entry), deployment.front, "POST", Deployment.HOST,
                    "/squad-batch/x", headers(id), "squad".getBytes(StandardCharsets.UTF_8), 20_000);
            Map<Integer, Integer> counts = new TreeMap<>();
            Matcher event = Pattern.compile("(?m)^id: (\\d+)$")
                    .matcher(new String(answer.body(), StandardCharsets.ISO_8859_1));
            while (event.find()) {
                counts.merge(Integer.parseInt(event.group(1)), 1, Integer::sum);
            }
            List<Integer> twice = counts.keySet().stream().filter(number -> counts.get(number) > 1).toList();
            deployment.report.line("client gets request=" + id + " " + answer + " events=" + counts.size()
                    + (twice.isEmpty() ? "" : " WRONG: came twice: " + twice));
            return !twice.isEmpty();
        });
        deployment.report.line("wrong answers: " + wrongAnswers + " of " + REQUESTS);
        return wrongAnswers > 0;
    }
}
