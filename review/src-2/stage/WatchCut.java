package stage;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner's entry is removed from the store, while the store now and then cuts a watch that waits. The rule is broken if
 * requests reach the runner later than drain-ms after the removal.
 */
public final class WatchCut {

    private static final long DRAIN_MILLIS = 2_000;
    private static final long CUT_EVERY_MILLIS = 1_500;
    /** The runner serves for drain-ms and a little longer: 3 s. */
    private static final long LINGER_MILLIS = 5_000;

    public static void main(String[] arguments) throws Exception {
        int code = Stage.FAILED;
        try (Stage stage = new Stage(arguments[0])) {
            code = run(stage);
        } catch (Exception failure) {
            failure.printStackTrace();
            code = Stage.FAILED;
        }
        System.exit(code);
    }

    private static int run(Stage stage) throws Exception {
        Record record = stage.record;
        Store store = new Store("127.0.1.1", 0);
        Map<String, Double> sentAt = new ConcurrentHashMap<>();
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        double[] removedAt = {Double.MAX_VALUE};
        PlainRunner[] runners = new PlainRunner[3];
        for (int index = 0; index < 3; index++) {
            runners[index] = new PlainRunner("127.0.3." + (index + 1), 0, "i-" + (index + 1), "sportello", 300,
                    (runner, id, path) -> {
                        ranAt.put(id, runner.id);
                        double since = record.millis() - removedAt[0];
                        if (runner.id.equals("i-1") && since > DRAIN_MILLIS) {
                            late.incrementAndGet();
                            record.line("LATE request %s sent at %.1f reaches i-1 %.0f ms after its entry was removed",
                                    id, sentAt.get(id), since);
                        } else {
                            record.line("run %s at %s", id, runner.id);
                        }
                    });
            store.put("servers/" + runners[index].id, runners[index].entry("ready"));
        }
        store.put("op/config", "{\"version\":4,\"routes\":[{\"name\":\"r-1\",\"host\":\"boat.example\","
                + "\"path-prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout-ms\":1500,\"target-latency-ms\":121,"
                + "\"priority\":2,\"service\":\"sportello\",\"max-attempts\":1,\"sticky\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"sportello\",\"health-path\":\"/health\",\"max-connections\":110}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,\"header-timeout-ms\":5000,"
                + "\"idle-timeout-ms\":30000}}");
        String ip = "127.0.2.1";
        int[] ports = Stage.freePorts(ip, 3);
        Process entry = stage.start("entry", "edge-1",
                Stage.settings("edge-1", "entry", ip, ports, "", store.address(), Stage.CONTRACTS));
        if (!stage.awaitReady(ip, ports[1], 20_000)) {
            record.line("the entry does not become ready");
            return Stage.FAILED;
        }
        boolean[] over = {false};
        Thread load = new Thread(() -> {
            for (int number = 0; !over[0]; number++) {
                String id = String.format("%016x", 0x1000 + number);
                Http.daemon(() -> send(record, ip, ports[0], id, sentAt, ranAt, answered, lost));
                Stage.sleep(50);
            }
        });
        load.start();
        // The machine is in touch by now, and the store has been stable for stable-window-ms.
        Stage.sleep(4_000);
        if (stage.trouble) {
            Http.daemon(() -> {
                while (!over[0]) {
                    record.line("the store cuts %d waiting watch(es)", store.cutWaitingWatches());
                    Stage.sleep(CUT_EVERY_MILLIS);
                }
            });
        }
        Stage.sleep(1_000);
        store.remove("servers/i-1");
        removedAt[0] = record.millis();
        record.line("the store has removed the entry of i-1");
        Stage.sleep(LINGER_MILLIS);
        record.line("i-1 exits with %d requests at work", runners[0].running.get());
        runners[0].server.exit();
        Stage.sleep(3_000);
        over[0] = true;
        load.join();
        Stage.sleep(1_700);
        record.line("sent=%d answered=%d lost=%d late=%d", sentAt.size(), answered.get(), lost.get(), late.get());
        if (!entry.isAlive() || answered.get() < 50) {
            return Stage.FAILED;
        }
        return late.get() > 0 ? Stage.BROKEN : Stage.HELD;
    }

    private static void send(
            Record record, String ip, int port, String id, Map<String, Double> sentAt, Map<String, String> ranAt,
            AtomicInteger answered, AtomicInteger lost) {
        sentAt.put(id, record.millis());
        String text = "POST /order/1 HTTP/1.1\r\nHost: boat.example\r\nRequest-Id: " + id
                + "\r\nRequest-Deadline: 1500\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbook";
        String outcome;
        try {
            int status = Stage.request(ip, port, text, 2_500).status();
            outcome = Integer.toString(status);
            if (status == 200) {
                answered.incrementAndGet();
            }
        } catch (IOException failure) {
            outcome = "no answer (" + failure.getMessage() + ")";
        }
        if (!outcome.equals("200")) {
            boolean ran = ranAt.containsKey(id);
            if (ran && !outcome.equals("503")) {
                lost.incrementAndGet();
            }
            record.line("answer %s: %s%s", id, outcome, ran ? ", it had begun at " + ranAt.get(id) : "");
        }
    }
}
