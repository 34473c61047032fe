package review;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** A runner's stream goes on with bytes that are no event and never end; the stream may be resumed elsewhere. */
final class EndlessEvent {
    private static final int EVENTS = 40;
    private static final int REQUESTS = 400;
    private static final int CLIENTS = 8;
    private static final int GOOD_EVENTS = 5;

    private EndlessEvent() {}

    /** Send a few events, then bytes without an end until the caller closes, 10 MB a second at most. */
    private static boolean endless(Http.Message request, Socket connection, RunnerStandIn runner) throws Exception {
        runner.head(request, connection, "text/event-stream", Map.of());
        for (int number = 1; number <= GOOD_EVENTS; number++) {
            Thread.sleep(10);
            RunnerStandIn.write(connection, RunnerStandIn.event(request.header("Request-Id"), number));
        }
        String junk = "#".repeat(10_000);
        while (true) {
            RunnerStandIn.write(connection, junk);
            Thread.sleep(1);
        }
    }

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        deployment.config(Configs.stubbleStud());
        RunnerStandIn sound = deployment.runner(2, "i-sound", "stitch-lm", List.of("m0"),
                RunnerStandIn.stream(EVENTS, 10));
        RunnerStandIn other = deployment.runner(3, "i-faulty", "stitch-lm", List.of("m0"),
                trouble
                        ? RunnerStandIn.spoilSome(EndlessEvent::endless, RunnerStandIn.stream(EVENTS, 10))
                        : RunnerStandIn.stream(EVENTS, 10));
        deployment.side(2, sound);
        deployment.side(3, other);
        deployment.entry(1);
        deployment.awaitReady(1);
        Thread.sleep(3_000);
        int wrongAnswers = Parallel.run(CLIENTS, REQUESTS, index -> {
            String id = "batch" + index;
            deployment.report.line("client sends POST /squad-batch/x request=" + id);
            Client.Answer answer = Client.ask(deployment.ip(1), deployment.front, "POST", Deployment.HOST,
                    "/squad-batch/x", Configs.modelHeaders(id, 20_000), "squad".getBytes(StandardCharsets.UTF_8),
                    20_000);
            StringBuilder expected = new StringBuilder();
            for (int number = 1; number <= EVENTS; number++) {
                expected.append(RunnerStandIn.event(id, number));
            }
            boolean whole = new String(answer.body(), StandardCharsets.ISO_8859_1).contentEquals(expected);
            boolean wrong = answer.status() / 100 == 2 && answer.complete() && !whole;
            deployment.report.line("client gets request=" + id + " " + answer + " body-is-the-runners=" + whole
                    + (wrong ? " WRONG: " + describe(answer.body()) : ""));
            return wrong;
        });
        deployment.report.line("wrong answers: " + wrongAnswers + " of " + REQUESTS);
        return wrongAnswers > 0;
    }

    private static String describe(byte[] body) {
        int junk = 0;
        for (byte each : body) {
            junk += each == '#' ? 1 : 0;
        }
        return junk + " bytes of the runner that was given up stand in the answer";
    }
}
