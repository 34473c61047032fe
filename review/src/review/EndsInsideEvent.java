package review;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** A runner's chunked stream ends inside an event. */
final class EndsInsideEvent {
    private static final int EVENTS = 40;
    private static final int REQUESTS = 400;
    private static final int CLIENTS = 8;

    private EndsInsideEvent() {}

    private static boolean torn(Http.Message request, Socket connection, RunnerStandIn runner) throws Exception {
        String id = request.header("Request-Id");
        runner.head(request, connection, "text/event-stream", Map.of("Transfer-Encoding", "chunked"));
        for (int number = 1; number <= 5; number++) {
            Thread.sleep(10);
            RunnerStandIn.chunk(connection, RunnerStandIn.event(id, number));
        }
        RunnerStandIn.chunk(connection, RunnerStandIn.event(id, 6).substring(0, 14));
        RunnerStandIn.write(connection, "0\r\n\r\n");
        return true;
    }

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        deployment.config(Configs.stubbleStud());
        RunnerStandIn sound = deployment.runner(2, "i-sound", "stitch-lm", List.of("m0"),
                RunnerStandIn.stream(EVENTS, 10));
        RunnerStandIn other = deployment.runner(3, "i-faulty", "stitch-lm", List.of("m0"),
                trouble
                        ? RunnerStandIn.spoilSome(EndsInsideEvent::torn, RunnerStandIn.stream(EVENTS, 10))
                        : RunnerStandIn.stream(EVENTS, 10));
        deployment.side(2, sound);
        deployment.side(3, other);
        deployment.entry(1);
        deployment.awaitReady(1);
        Thread.sleep(3_000);
        int wrongAnswers = Parallel.run(CLIENTS, REQUESTS, index -> {
            String id = "squad" + index * 7;
            String path = index % 2 == 0 ? "/squad-batch/x" : "/design-chat/x";
            deployment.report.line("client sends POST " + path + " request=" + id);
            Client.Answer answer = Client.ask(deployment.ip(1), deployment.front, "POST", Deployment.HOST, path,
                    Configs.modelHeaders(id, 15_000), "squad".getBytes(StandardCharsets.UTF_8), 15_000);
            String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
            boolean last = body.contains(RunnerStandIn.event(id, EVENTS));
            boolean wrong = answer.status() / 100 == 2 && answer.complete() && !last;
            deployment.report.line("client gets request=" + id + " " + answer + " has-last-event=" + last
                    + (wrong ? " WRONG" : ""));
            return wrong;
        });
        deployment.report.line("wrong answers: " + wrongAnswers + " of " + REQUESTS);
        return wrongAnswers > 0;
    }
}
