package review;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A runner answers one stream with random bytes that never end; the client gives up after two seconds without an event.
 * Small requests to another service follow for half a minute.
 */
final class EndlessStream {
    /** Below the 1,000 Mbit/s of an entry's link. */
    private static final long BYTES_PER_SECOND = 120_000_000;

    private EndlessStream() {}

    private static boolean endless(Http.Message request, Socket connection, RunnerStandIn runner) throws Exception {
        runner.head(request, connection, "text/event-stream", Map.of());
        byte[] junk = new byte[1_000_000];
        new Random(7).nextBytes(junk);
        OutputStream out = connection.getOutputStream();
        long start = System.nanoTime();
        long sent = 0;
        while (true) {
            out.write(junk, (int) (sent % 900_000), 50_000);
            sent += 50_000;
            while (sent > (System.nanoTime() - start) / 1e9 * BYTES_PER_SECOND) {
                Thread.sleep(1);
            }
        }
    }

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        deployment.config(Configs.stubbleStud());
        RunnerStandIn engine = deployment.runner(2, "i-engine", "stitch-lm", List.of("m0"),
                trouble ? EndlessStream::endless : RunnerStandIn.stream(40, 10));
        deployment.runner(3, "i-desk", "orderdesk", List.of(), RunnerStandIn.plain(85));
        deployment.side(2, engine);
        deployment.entry(1);
        deployment.awaitReady(1);
        Thread.sleep(2_000);
        Load load = new Load();
        load.run(deployment, "before", 10, 100);
        load.await();
        deployment.report.line("before: " + load);
        Load during = new Load();
        Thread stream = Http.daemon(() -> deployment.report.line("client gets the stream " + Client.ask(
                deployment.ip(1), deployment.front, "POST", Deployment.HOST, "/design-chat/x",
                Configs.modelHeaders("chat1", 15_000), "design".getBytes(StandardCharsets.UTF_8), 2_000)));
        Thread.sleep(200);
        during.run(deployment, "during", 150, 200);
        deployment.report.line("the entry answers the platform's GET /ready: " + deployment.isReady(1));
        during.await();
        stream.join();
        deployment.report.line("during: " + during);
        return during.broken(deployment);
    }
}
