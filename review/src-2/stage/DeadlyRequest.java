package stage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each runner of a plain service that begins to run it, and comes again at any entry. In the mode
 * "sides-lost" all side machines are lost before, in the mode "same-id" the runners start again under the id that they
 * had, and in the mode "caller-leaves" a runner crashes after 80 ms of work on the request, when its caller has left. The
 * rule is broken if the request reaches runners more than three times later than stable-window-ms after it
 * has crashed the third.
 */
public final class DeadlyRequest {

    private static final long STABLE_MILLIS = 3_000;
    private static final int ENTRIES = 5;
    private static final int RUNNERS = 3;
    private static final String DEADLY = "/order/deadly";
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    /** Within the longest work of this kind of request, 110 ms. */
    private static final int WORK_BEFORE_CRASH_MILLIS = 80;
    /** Less than half the objective of the route. */
    private static final int LEAVES_MILLIS = 50;
    /** A runner is back after some seconds. */
    private static final long BACK_MILLIS = 1_500;

    private final Stage stage;
    private final Record record;
    private final Store store;
    private final int[] runnerPorts = new int[RUNNERS];
    private final AtomicInteger incarnations = new AtomicInteger();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final Map<String, String> ranAt = new ConcurrentHashMap<>();
    private volatile double thirdAt = Double.MAX_VALUE;
    private volatile boolean over;
    private final boolean losesSides;
    private final boolean keepsIds;
    private final boolean crashesLater;
    private final boolean leaves;

    private DeadlyRequest(Stage stage, String mode) throws IOException {
        this.losesSides = stage.trouble && mode.equals("sides-lost");
        this.keepsIds = stage.trouble && mode.equals("same-id");
        this.crashesLater = mode.equals("caller-leaves");
        this.leaves = stage.trouble && crashesLater;
        this.stage = stage;
        this.record = stage.record;
        this.store = new Store("127.0.1.1", 0);
    }

    public static void main(String[] arguments) throws Exception {
        int code = Stage.FAILED;
        try (Stage stage = new Stage(arguments[0])) {
            code = new DeadlyRequest(stage, arguments[1]).run();
        } catch (Exception failure) {
            failure.printStackTrace();
            code = Stage.FAILED;
        }
        System.exit(code);
    }

    /** A runner of the plain service, until it crashes. */
    private final class Runner {
        final int number;
        final String id;
        final long born = System.currentTimeMillis();
        final Http.Server server;
        private final AtomicBoolean isDown = new AtomicBoolean();
        private final Semaphore slots = new Semaphore(SLOTS, true);
        private final AtomicInteger held = new AtomicInteger();

        Runner(int number) throws IOException {
            this.number = number;
            this.id = "i-" + (keepsIds ? number + 1 : incarnations.incrementAndGet());
            this.server = new Http.Server("127.0.3." + (number + 1), runnerPorts[number], this::handle);
            runnerPorts[number] = server.socket.getLocalPort();
            store.put("servers/" + id, "{\"service\":\"sportello\",\"address\":\"127.0.3." + (number + 1) + ":"
                    + runnerPorts[number] + "\",\"zone\":\"milano-fiera\",\"version\":\"v1\",\"slots\":6,"
                    + "\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":0,\"born\":" + born + "}");
        }

        private boolean handle(Http.Message request, Socket channel, OutputStream out) throws Exception {
            String target = request.header("Target-Instance");
            String requestId = request.header("Request-Id");
            String echo = requestId.isEmpty() ? "" : "Request-Id: " + requestId + "\r\n";
            if (!target.isEmpty() && !target.equals(id)) {
                Http.answer(out, 421, echo + "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            if (request.target().equals("/health")) {
                Http.answer(out, 200, "Instance-Id: " + id + "\r\nContent-Type: application/json\r\n",
                        ("{\"born\":" + born + "}").getBytes(StandardCharsets.UTF_8));
                return true;
            }
            if (held.incrementAndGet() > SLOTS + QUEUE) {
                held.decrementAndGet();
                Http.answer(out, 503, echo + "Not-Executed: 1\r\n", new byte[0]);
                return true;
            }
            slots.acquire();
            try {
                if (isDown.get()) {
                    return false;
                }
                ranAt.put(requestId, id);
                if (request.target().equals(DEADLY)) {
                    Stage.sleep(crashesLater ? WORK_BEFORE_CRASH_MILLIS : 0);
                    crash(requestId);
                    return false;
                }
                Stage.sleep(60);
            } finally {
                slots.release();
                held.decrementAndGet();
            }
            Http.answer(out, 200, echo + "Response-Seal: " + Integer.toHexString(requestId.hashCode()) + "\r\n",
                    ("done " + requestId).getBytes(StandardCharsets.UTF_8));
            return true;
        }

        private void crash(String requestId) {
            synchronized (DeadlyRequest.this) {
                int count = crashes.incrementAndGet();
                double now = record.millis();
                if (count == 3) {
                    thirdAt = now;
                }
                boolean isLate = now - thirdAt > STABLE_MILLIS;
                if (isLate) {
                    late.incrementAndGet();
                }
                record.line("crash %d: %s runs %s and crashes%s", count, id, requestId,
                        isLate ? String.format(", LATE: %.0f ms after the third", now - thirdAt) : "");
            }
            if (!isDown.compareAndSet(false, true)) {
                return;
            }
            server.exit();
            Http.daemon(() -> {
                Stage.sleep(BACK_MILLIS);
                try {
                    Runner next = new Runner(number);
                    record.line("a runner is back at 127.0.3.%d as %s, born %d", number + 1, next.id, next.born);
                    // The crashed one is silent, so that its entry lapses after three ping intervals of 1.2 s.
                    Stage.sleep(3_600 - BACK_MILLIS);
                    if (!next.id.equals(id)) {
                        store.remove("servers/" + id);
                    }
                } catch (IOException failure) {
                    record.line("a runner does not come back: %s", failure);
                }
            });
        }
    }

    private int run() throws Exception {
        for (int number = 0; number < RUNNERS; number++) {
            new Runner(number);
        }
        EngineRunner[] engines = new EngineRunner[2];
        Process[] sides = new Process[2];
        int[] ports = Stage.freePorts("127.0.2.1", 3);
        for (int index = 0; index < 2; index++) {
            String ip = "127.0.4." + (index + 1);
            engines[index] = new EngineRunner(ip, 0, "m-" + (index + 1), "testi");
            store.put("servers/m-" + (index + 1), engines[index].entry("ready"));
            sides[index] = stage.start("side", "side-" + (index + 1), Stage.settings("side-" + (index + 1), "side", ip,
                    ports, engines[index].address(), store.address(), Stage.CONTRACTS));
        }
        store.put("op/config", "{\"version\":4,\"routes\":[{\"name\":\"r-1\",\"host\":\"boat.example\","
                + "\"path-prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout-ms\":1500,\"target-latency-ms\":121,"
                + "\"priority\":2,\"service\":\"sportello\",\"max-attempts\":1,\"sticky\":false,\"resumable\":false},"
                + "{\"name\":\"r-2\",\"host\":\"boat.example\",\"path-prefix\":\"/chat/\",\"kind\":\"streaming\","
                + "\"timeout-ms\":15000,\"target-latency-ms\":500,\"target-gap-ms\":300,\"priority\":1,"
                + "\"service\":\"testi\",\"max-attempts\":2,\"sticky\":true,\"resumable\":true}],"
                + "\"services\":[{\"name\":\"sportello\",\"health-path\":\"/health\",\"max-connections\":110},"
                + EngineRunner.SERVICE + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,"
                + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}");
        Process[] entries = new Process[ENTRIES];
        for (int index = 0; index < ENTRIES; index++) {
            String ip = "127.0.2." + (index + 1);
            entries[index] = stage.start("entry", "edge-" + (index + 1),
                    Stage.settings("edge-" + (index + 1), "entry", ip, ports, "", store.address(), Stage.CONTRACTS));
        }
        for (int index = 0; index < ENTRIES; index++) {
            if (!stage.awaitReady("127.0.2." + (index + 1), ports[1], 20_000)) {
                return Stage.FAILED;
            }
        }
        Stage.sleep(4_000);
        if (losesSides) {
            for (int index = 0; index < 2; index++) {
                sides[index].destroyForcibly().waitFor();
                engines[index].server.exit();
                store.remove("servers/m-" + (index + 1));
            }
            record.line("all side machines are lost");
        }
        Stage.sleep(4_000);
        Thread load = new Thread(() -> {
            for (int number = 0; !over; number++) {
                String id = String.format("%016x", 0x1000 + number);
                String ip = "127.0.2." + (1 + number % ENTRIES);
                Http.daemon(() -> send(ip, ports[0], id, "/order/" + id, "book " + id, 2_500));
                Stage.sleep(50);
            }
        });
        load.start();
        for (int number = 0; number < (crashesLater ? 15 : 24); number++) {
            String id = String.format("%016x", 0xdead000 + number);
            String ip = "127.0.2." + (1 + number % ENTRIES);
            record.line("the deadly request comes to %s as %s", ip, id);
            Http.daemon(() -> send(ip, ports[0], id, DEADLY, "one fatal order", leaves ? LEAVES_MILLIS : 2_500));
            // Callers leave in spells of 5.5 s at most, with a pause between them.
            Stage.sleep(crashesLater && number % 3 == 2 ? 5_000 : 2_500);
        }
        over = true;
        load.join();
        Stage.sleep(2_000);
        record.line("crashes=%d late=%d; other requests: answered=%d, lost in crashes=%d", crashes.get(), late.get(),
                answered.get(), lost.get());
        for (Process entry : entries) {
            if (!entry.isAlive()) {
                return Stage.FAILED;
            }
        }
        return late.get() > 3 ? Stage.BROKEN : Stage.HELD;
    }

    private void send(String ip, int port, String id, String path, String body, int patienceMillis) {
        String outcome;
        try {
            int status = Stage.request(ip, port, "POST " + path + " HTTP/1.1\r\nHost: boat.example\r\nRequest-Id: " + id
                    + "\r\nRequest-Deadline: 1500\r\nContent-Length: " + body.length() + "\r\nConnection: close\r\n\r\n"
                    + body, patienceMillis).status();
            outcome = Integer.toString(status);
        } catch (IOException failure) {
            outcome = "no answer (" + failure.getMessage() + ")";
        }
        boolean ran = ranAt.containsKey(id);
        if (outcome.equals("200")) {
            answered.incrementAndGet();
        } else if (!path.equals(DEADLY) && ran && !outcome.equals("503")) {
            lost.incrementAndGet();
            record.line("answer %s at %s: %s, it had begun at %s", id, ip, outcome, ranAt.get(id));
        } else if (path.equals(DEADLY)) {
            record.line("answer %s at %s: %s", id, ip, outcome);
        }
    }
}
