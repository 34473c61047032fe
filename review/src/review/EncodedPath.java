package review;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A client sends paths with percent-encoded characters, one of them with encoded line ends. */
final class EncodedPath {
    private EncodedPath() {}

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20").replace("%2F", "/");
    }

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        deployment.config(Configs.stubbleStud());
        Queue<String> ran = new ConcurrentLinkedQueue<>();
        for (int machine = 2; machine <= 3; machine++) {
            deployment.runner(machine, "i-" + machine, "orderdesk", List.of(), (request, connection, runner) -> {
                ran.add(request.header("Request-Id") + " " + request.method() + " " + request.target());
                return RunnerStandIn.plain(20).run(request, connection, runner);
            });
        }
        deployment.entry(1);
        deployment.awaitReady(1);
        Map<String, String> sent = new LinkedHashMap<>();
        String hidden = "x HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nRequest-Id: first\r\n\r\n"
                + "POST /place-order/one HTTP/1.1\r\nHost: " + Deployment.HOST
                + "\r\nRequest-Id: nobody\r\nContent-Length: 0\r\n\r\nGET /order-status/y";
        List<String> paths = trouble
                ? List.of("/order-status/size%2042", "/order-status/t%C3%A9nis", "/order-status/a%3Fb",
                        "/order-status/" + encode(hidden))
                : List.of("/order-status/size42", "/order-status/tennis", "/order-status/a/b", "/order-status/x");
        for (String path : paths) {
            String id = "status" + sent.size();
            sent.put(id, "GET " + path);
            deployment.report.line("client sends GET " + path + " request=" + id);
            Client.Answer answer = Client.ask(deployment.ip(1), deployment.front, "GET", Deployment.HOST, path,
                    Configs.plainHeaders(id, 4_000), new byte[0], 4_500);
            deployment.report.line("client gets request=" + id + " " + answer);
        }
        Thread.sleep(500);
        boolean broken = false;
        for (String run : ran) {
            int space = run.indexOf(' ');
            String id = run.substring(0, space);
            String asked = sent.get(id);
            if (asked == null) {
                deployment.report.line("WRONG: a runner ran a request whose id no client sent: " + run);
                broken = true;
            } else if (!asked.equals(run.substring(space + 1))) {
                deployment.report.line("WRONG: the path was changed: sent " + asked + ", ran " + run);
                broken = true;
            }
        }
        return broken;
    }
}
