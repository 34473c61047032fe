import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of a prompt crashes each runner that begins to write an answer on it; the callers have left before. */
final class CaseAbandoned {

    private static final List<String> ZONES = List.of("regina", "saskatoon", "brandon", "lethbridge");

    private static final String HARMFUL = "0bad0bad";

    private static final int STABLE_WINDOW_MILLIS = 3_000;

    /** The runner is back after some seconds. */
    private static final int BACK_MILLIS = 2_000;

    /** Three ping intervals of silence, after which the entry of a runner that has crashed goes. */
    private static final int SILENCE_MILLIS = 3_600;

    /** Time from a request to its first event at a runner, and after which the callers of harmful requests leave. */
    private static final int FIRST_EVENT_MILLIS = 300;

    private static final int LEAVE_MILLIS = 150;

    private static final String CONFIG = "{\"version\":4,\"routes\":[{\"name\":\"design-chat\",\"host\":\"boots.example\","
            + "\"path-prefix\":\"/design/\",\"kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":500,"
            + "\"target-gap-ms\":250,\"priority\":1,\"service\":\"stitch-lm\",\"max-attempts\":1,\"sticky\":true,"
            + "\"resumable\":false}],\"services\":[{\"name\":\"stitch-lm\",\"max-connections\":360,"
            + "\"health-path\":\"/health\",\"engine\":{\"slots\":64,\"kv-capacity\":147322,\"weights-mb\":230000,"
            + "\"adapter-slots\":8,\"loads-per-s\":1.8,\"models\":[{\"name\":\"boots\",\"weights-mb\":65100,"
            + "\"load-s\":2.2,\"warm-s\":1.1,\"disk-s\":1.4,\"adapters\":0,\"adapter-mb\":12}]}}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":5000,"
            + "\"idle-timeout-ms\":30000}}";

    private record Arrival(String request, long atMillis) {}

    private static final List<Long> CRASHES = Collections.synchronizedList(new ArrayList<>());

    private static final List<Arrival> HARMFUL_ARRIVALS = Collections.synchronizedList(new ArrayList<>());

    private static final Set<String> HARMFUL_REQUESTS = ConcurrentHashMap.newKeySet();

    private static final Set<String> CUT = ConcurrentHashMap.newKeySet();

    private static final AtomicInteger IDS = new AtomicInteger();

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
        List<String> hosts = new ArrayList<>(List.of("127.35.3.1"));
        for (int number = 1; number <= 4; number++) {
            hosts.add("127.35.1." + number);
            hosts.add("127.35.2." + number);
        }
        Rig rig = new Rig(recordFile, hosts);
        Store store = new Store("127.35.3.1", rig.appPort);
        store.put("op/config", CONFIG);
        for (int index = 0; index < 4; index++) {
            startRunner(rig, store, index, 0);
        }
        for (int index = 0; index < 4; index++) {
            String zone = ZONES.get(index);
            rig.start("entry", "edge-" + zone + "-1", "127.35.1." + (index + 1), zone, store.address());
            rig.start("side", "side-" + zone + "-1", "127.35.2." + (index + 1), zone, store.address());
        }
        for (int number = 1; number <= 4; number++) {
            rig.awaitReady("127.35.1." + number, 40_000);
        }
        Thread.sleep(4_000);
        rig.say("all machines are in touch; no process of the system, link or call to the store is touched from here on");
        long start = Rig.millis();
        long end = start + 40_000;
        Set<String> sound = ConcurrentHashMap.newKeySet();
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < 16; client++) {
            String entry = "127.35.1." + (1 + client % 4);
            long offset = client * 60L;
            clients.add(Store.daemon(() -> {
                sleep(offset);
                Caller caller = new Caller(entry, rig.frontPort);
                while (Rig.millis() < end) {
                    // Sound requests share their caller and their other parts with the harmful ones.
                    String id = nextId();
                    Caller.Outcome outcome = call(caller, entry, id, "5c1e07a2:210,91bd3f06:140,e4" + id + ":1110");
                    sound.add(id);
                    rig.log("sound   " + id + " at " + entry + " gets " + outcome.status() + " " + outcome.detail());
                    sleep(200);
                }
            }));
        }
        int turn = 0;
        int refused = 0;
        sleep(1_000);
        while (Rig.millis() < end) {
            // One at a time, at the entries in turn, no two alike.
            String entry = "127.35.1." + (1 + turn++ % 4);
            String id = nextId();
            HARMFUL_REQUESTS.add(id);
            Caller caller = new Caller(entry, rig.frontPort);
            if (Rig.TROUBLE) {
                // The caller leaves; a refusal would come at once.
                Store.daemon(() -> {
                    sleep(LEAVE_MILLIS);
                    caller.close();
                });
            }
            Caller.Outcome outcome = call(caller, entry, id, "5c1e07a2:210," + HARMFUL + ":140,e4" + id + ":" + (900 + turn));
            caller.close();
            refused += outcome.status() == 503 ? 1 : 0;
            rig.log("harmful " + id + " at " + entry + " gets " + outcome.status() + " " + outcome.detail());
            sleep(1_200 - LEAVE_MILLIS);
            // In spells of five seconds with three between them.
            long inSpell = (Rig.millis() - start - 1_000) % 8_000;
            if (inSpell > 5_000) {
                sleep(8_000 - inSpell);
            }
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        return judge(rig, sound.size(), (int) sound.stream().filter(CUT::contains).count(), refused);
    }

    private static String nextId() {
        return "9c41d07be2a" + String.format("%05x", IDS.incrementAndGet());
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private static Caller.Outcome call(Caller caller, String entry, String id, String prompt) {
        return caller.call(
                id,
                "POST",
                "/design/2f",
                "X-Entry: " + entry + "\r\nModel: boots\r\nToken-Count: 1460,172\r\nPrompt-Prefix: " + prompt + "\r\n",
                Http.bytes("boots " + id),
                15_000);
    }

    /** Start an incarnation of a runner; after a crash the next one comes at the same address, under another id. */
    private static void startRunner(Rig rig, Store store, int index, int incarnation) throws IOException {
        EngineRunner.Listener listener = new EngineRunner.Listener() {
            @Override
            public void arrived(EngineRunner runner, String request, String entry) {
                if (HARMFUL_REQUESTS.contains(request)) {
                    HARMFUL_ARRIVALS.add(new Arrival(request, Rig.millis()));
                    rig.log("harmful " + request + " reaches " + runner.id + " from " + entry);
                }
            }

            @Override
            public void ended(EngineRunner runner, String request, int events, boolean complete) {
                if (!complete) {
                    CUT.add(request);
                }
            }
        };
        EngineRunner runner = new EngineRunner(
                "i-" + index + incarnation + "3a91c2",
                "127.35.2." + (index + 1),
                rig.appPort,
                ZONES.get(index),
                "v1",
                86,
                25,
                store,
                listener);
        runner.harmfulPart = HARMFUL;
        runner.eventsBeforeCrash = 0;
        runner.firstEventMillis = FIRST_EVENT_MILLIS;
        runner.crashListener = request -> {
            CRASHES.add(Rig.millis());
            rig.say("runner " + runner.id + " crashes at " + request + ", crash " + CRASHES.size());
            Store.daemon(() -> {
                sleep(BACK_MILLIS);
                try {
                    startRunner(rig, store, index, incarnation + 1);
                } catch (IOException failure) {
                    rig.say("the next incarnation did not start: " + failure);
                }
                sleep(SILENCE_MILLIS - BACK_MILLIS);
                store.remove("servers/" + runner.id);
            });
        };
        runner.register();
    }

    private static int judge(Rig rig, int sound, int soundCut, int refused) {
        long fifth = CRASHES.size() < 5 ? Long.MAX_VALUE : CRASHES.get(4);
        long late = HARMFUL_ARRIVALS.stream()
                .filter(arrival -> fifth != Long.MAX_VALUE && arrival.atMillis() > fifth + STABLE_WINDOW_MILLIS)
                .count();
        rig.say("harmful requests " + HARMFUL_REQUESTS.size() + ", refused with 503 " + refused + ", reached runners "
                + HARMFUL_ARRIVALS.size() + ", of these later than stable-window-ms after the fifth crash " + late + "; crashes "
                + CRASHES.size() + "; sound streams " + sound + ", cut by a crash " + soundCut);
        if (HARMFUL_ARRIVALS.isEmpty() || sound < 100) {
            rig.say("the case could not run");
            return 2;
        }
        rig.say(late > 3 ? "BUDGET is broken" : "BUDGET holds");
        return late > 3 ? 1 : 0;
    }
}
