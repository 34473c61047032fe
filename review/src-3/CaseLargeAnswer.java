import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Orders on kept channels, some of which a sound runner answers with several MiB. */
final class CaseLargeAnswer {

    private static final String CONFIG = "{\"version\":4,\"routes\":[{\"name\":\"place-order\",\"host\":\"boots.example\","
            + "\"path-prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout-ms\":4000,\"target-latency-ms\":386,\"priority\":2,"
            + "\"service\":\"orderdesk\",\"max-attempts\":2}],\"services\":[{\"name\":\"orderdesk\",\"max-connections\":100,"
            + "\"health-path\":\"/health\"}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";

    /** Five MiB; without the trouble three, which shows that it isn't the time that a long answer takes. */
    private static final int LARGE_BYTES = (Rig.TROUBLE ? 5 : 3) * 1_048_576;

    private static final Set<String> ANSWERED = ConcurrentHashMap.newKeySet();

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
                "127.33.3.1", "127.33.1.1", "127.33.1.2", "127.33.2.1", "127.33.2.2", "127.33.2.3", "127.33.2.4");
        Rig rig = new Rig(recordFile, hosts);
        Store store = new Store("127.33.3.1", rig.appPort);
        store.put("op/config", CONFIG);
        List<String> zones = List.of("regina", "saskatoon", "brandon", "lethbridge");
        for (int number = 1; number <= 4; number++) {
            startRunner(rig, store, "i-" + number + "f3a91c2", "127.33.2." + number, zones.get(number - 1));
        }
        for (int number = 1; number <= 2; number++) {
            String zone = zones.get(number - 1);
            rig.start("entry", "edge-" + zone + "-1", "127.33.1." + number, zone, store.address());
        }
        for (int number = 1; number <= 2; number++) {
            rig.awaitReady("127.33.1." + number, 40_000);
        }
        Thread.sleep(4_000);
        rig.say("all machines are in touch");
        int small = 0;
        int whole = 0;
        int refused = 0;
        int lost = 0;
        int ids = 0;
        for (int round = 0; round < 8; round++) {
            Caller caller = new Caller("127.33.1." + (1 + round % 2), rig.frontPort);
            for (String path : List.of("/order/small", "/order/large")) {
                String id = "9c41d07be2a" + String.format("%05x", ++ids);
                Caller.Outcome outcome = caller.call(id, "POST", path, "", Http.bytes("order " + id), 4_000);
                boolean ran = ANSWERED.contains(id);
                rig.log("order " + id + " " + path + ", kept channel " + outcome.reused() + ", ran and answered whole by its runner "
                        + ran + ", the client gets " + outcome.status() + " "
                        + outcome.detail().substring(0, Math.min(120, outcome.detail().length())));
                if (path.equals("/order/small")) {
                    small += outcome.status() == 200 ? 1 : 0;
                } else if (outcome.status() == 200) {
                    whole++;
                } else if (outcome.status() != 0) {
                    refused++;
                } else if (outcome.reused() && ran) {
                    lost++;
                }
            }
            caller.close();
        }
        rig.say("small answers " + small + " of 8, long answers of " + LARGE_BYTES + " bytes: whole " + whole
                + ", another status " + refused + ", kept channel closed without an answer though the order ran " + lost);
        if (small < 8) {
            rig.say("the case could not run");
            return 2;
        }
        rig.say(lost > 3 ? "LOST is broken" : "LOST holds");
        return lost > 3 ? 1 : 0;
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

    private static void serve(Rig rig, String id, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (request.target().equals("/health")) {
                    answer(socket, 200, "Instance-Id: " + id + "\r\n", Http.bytes("{}"));
                    continue;
                }
                String requestId = request.header("Request-Id");
                byte[] body = new byte[request.target().equals("/order/large") ? LARGE_BYTES : 800];
                Arrays.fill(body, (byte) 'x');
                answer(socket, 200, "Request-Id: " + requestId + "\r\nResponse-Seal: " + id + "." + requestId + "\r\n", body);
                ANSWERED.add(requestId);
                rig.log("runner " + id + " has run " + requestId + " and answered 200 with " + body.length + " bytes");
            }
        } catch (IOException ended) {
            // The entry has gone.
        }
    }

    private static void answer(Socket socket, int status, String headers, byte[] body) throws IOException {
        socket.getOutputStream()
                .write(Store.concat(
                        Http.bytes("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n"),
                        body));
    }
}
