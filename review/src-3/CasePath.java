import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Requests whose paths hold percent-encoded characters; what the runners run is compared with what was sent. */
final class CasePath {

    private static final String CONFIG = "{\"version\":4,\"routes\":[{\"name\":\"place-order\",\"host\":\"boots.example\","
            + "\"path-prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout-ms\":4000,\"target-latency-ms\":386,\"priority\":2,"
            + "\"service\":\"orderdesk\",\"max-attempts\":2}],\"services\":[{\"name\":\"orderdesk\",\"max-connections\":100,"
            + "\"health-path\":\"/health\"}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";

    /** Paths of sound clients, by RFC 3986: a question mark, a percent sign, a space and a letter that isn't ASCII. */
    private static final List<String> PATHS = Rig.TROUBLE
            ? List.of("/order/size%3F42/2f", "/order/100%25/2f", "/order/100%2541/2f", "/order/blue%20boots/2f",
                    "/order/caf%C3%A9/2f", "/order/left%26right/2f")
            : List.of("/order/size42/2f", "/order/100/2f", "/order/10041/2f", "/order/blueboots/2f", "/order/cafe/2f",
                    "/order/leftright/2f");

    private record Run(String runner, String method, String target, String request, String body) {}

    private static final List<Run> RUNS = new CopyOnWriteArrayList<>();

    private static final Map<String, Integer> REFUSED_BY_RUNNER = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try {
            exit = run(Path.of(arguments[0]));
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Path recordFile) throws Exception {
        List<String> hosts = List.of(
                "127.32.3.1", "127.32.1.1", "127.32.1.2", "127.32.2.1", "127.32.2.2", "127.32.2.3", "127.32.2.4");
        Rig rig = new Rig(recordFile, hosts);
        Store store = new Store("127.32.3.1", rig.appPort);
        store.put("op/config", CONFIG);
        List<String> zones = List.of("regina", "saskatoon", "brandon", "lethbridge");
        for (int number = 1; number <= 4; number++) {
            startRunner(rig, store, "i-" + number + "f3a91c2", "127.32.2." + number, zones.get(number - 1));
        }
        for (int number = 1; number <= 2; number++) {
            String zone = zones.get(number - 1);
            rig.start("entry", "edge-" + zone + "-1", "127.32.1." + number, zone, store.address());
        }
        for (int number = 1; number <= 2; number++) {
            rig.awaitReady("127.32.1." + number, 40_000);
        }
        Map<String, String> sent = new TreeMap<>();
        Map<String, Integer> statuses = new TreeMap<>();
        Caller[] callers = {new Caller("127.32.1.1", rig.frontPort), new Caller("127.32.1.2", rig.frontPort)};
        int number = 0;
        for (int round = 0; round < 5; round++) {
            for (String path : PATHS) {
                String id = "9c41d07be2a" + String.format("%05x", ++number);
                sent.put(id, path);
                Caller.Outcome outcome = callers[number % 2].call(id, "POST", path, "", Http.bytes("order " + id), 4_000);
                statuses.merge(path + " -> " + outcome.status(), 1, Integer::sum);
                rig.log("sends   " + id + " POST " + path + "; gets " + outcome.status() + " " + outcome.detail());
            }
        }
        // One request that holds another one in its path.
        for (int round = 0; round < 3; round++) {
            String id = "9c41d07be2a" + String.format("%05x", ++number);
            String path = Rig.TROUBLE
                    ? "/order/2f%20HTTP/1.1%0D%0AHost:%20boots.example%0D%0ARequest-Id:%20" + id
                            + "%0D%0AContent-Length:%200%0D%0A%0D%0APOST%20/order/nobody%20HTTP/1.1%0D%0AHost:%20boots.example"
                            + "%0D%0ARequest-Id:%20never-sent-" + round
                            + "%0D%0AContent-Length:%200%0D%0A%0D%0APOST%20/order/3f"
                    : "/order/2f";
            sent.put(id, path);
            Caller.Outcome outcome = callers[number % 2].call(id, "POST", path, "", Http.bytes("order " + id), 4_000);
            statuses.merge("a request in a path -> " + outcome.status(), 1, Integer::sum);
            rig.log("sends   " + id + " POST " + path + "; gets " + outcome.status() + " " + outcome.detail());
        }
        Thread.sleep(1_000);
        return judge(rig, sent, statuses);
    }

    private static int judge(Rig rig, Map<String, String> sent, Map<String, Integer> statuses) {
        int changed = 0;
        int neverSent = 0;
        Map<String, Integer> counts = new TreeMap<>();
        for (Run run : RUNS) {
            counts.merge(run.request(), 1, Integer::sum);
            String path = sent.get(run.request());
            if (path == null) {
                neverSent++;
                rig.say("UNASKED: " + run.runner() + " runs " + run.method() + " " + run.target() + " with the id "
                        + run.request() + ", which no client sent");
            } else if (!run.target().equals(path)) {
                changed++;
                rig.log("UNASKED: " + run.runner() + " runs " + run.request() + " as " + run.target() + "; sent was " + path);
            }
        }
        long twice = counts.entrySet().stream()
                .filter(each -> sent.containsKey(each.getKey()) && each.getValue() > 1)
                .count();
        rig.say("answers by path: " + statuses);
        rig.say("requests " + sent.size() + ", runs " + RUNS.size() + ", heads that are no request by the runners "
                + REFUSED_BY_RUNNER + ", runs with another path " + changed + ", runs with an id that no client sent "
                + neverSent + ", unsafe requests that ran more than once " + twice);
        if (RUNS.isEmpty()) {
            rig.say("the case could not run");
            return 2;
        }
        boolean broken = changed > 0 || neverSent > 0 || twice > 0;
        rig.say(broken ? "UNASKED is broken" : "UNASKED holds");
        return broken ? 1 : 0;
    }

    private static void startRunner(Rig rig, Store store, String id, String host, String zone) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, rig.appPort), 100);
        store.put(
                "servers/" + id,
                "{\"service\":\"orderdesk\",\"address\":\"" + host + ":" + rig.appPort + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":1,\"born\":"
                        + System.currentTimeMillis() + "}");
        Store.daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Store.daemon(() -> serve(rig, id, socket));
                } catch (IOException ended) {
                    return;
                }
            }
        });
    }

    /** Serve one request after the other on a channel; a head that is no HTTP/1.1 request is answered 400. */
    private static void serve(Rig rig, String id, Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message head = Http.head(in); head != null; head = Http.head(in)) {
                String[] line = head.first.split(" ", -1);
                boolean valid = line.length == 3 && line[2].equals("HTTP/1.1") && line[1].startsWith("/");
                if (!valid) {
                    REFUSED_BY_RUNNER.merge(id, 1, Integer::sum);
                    rig.log("refused at " + id + ": the request line " + head.first);
                    answer(socket, 400, "Connection: close\r\n", "no request");
                    return;
                }
                head.body = Http.body(in, head);
                if (line[1].equals("/health")) {
                    answer(socket, 200, "Instance-Id: " + id + "\r\n", "{}");
                    continue;
                }
                String request = head.header("Request-Id");
                String echo = "Request-Id: " + request + "\r\n";
                String target = head.header("Target-Instance");
                if (!target.isEmpty() && !target.equals(id)) {
                    answer(socket, 421, echo, "");
                    continue;
                }
                RUNS.add(new Run(id, line[0], line[1], request, new String(head.body)));
                rig.log("runs    " + request + " " + line[0] + " " + line[1] + " at " + id);
                answer(socket, 200, echo + "Response-Seal: " + id + "." + request + "\r\n", "done " + request);
            }
        } catch (IOException | RuntimeException ended) {
            // The entry has gone.
        }
    }

    private static void answer(Socket socket, int status, String headers, String body) throws IOException {
        byte[] bytes = Http.bytes(body);
        socket.getOutputStream()
                .write(Store.concat(
                        Http.bytes("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n"),
                        bytes));
    }
}
