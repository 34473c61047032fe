import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner leaves as planned and says so in its answers; then the store has a drill and comes back from a copy. */
final class CaseDrill {

    private static final int DRAIN_MILLIS = 2_000;

    private static final List<String> ZONES = List.of("regina", "saskatoon", "brandon", "lethbridge");

    private static final String CONFIG = "{\"version\":4,\"routes\":[{\"name\":\"design-chat\",\"host\":\"boots.example\","
            + "\"path-prefix\":\"/design/\",\"kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":500,"
            + "\"target-gap-ms\":250,\"priority\":1,\"service\":\"stitch-lm\",\"max-attempts\":1,\"sticky\":true,"
            + "\"resumable\":false}],\"services\":[{\"name\":\"stitch-lm\",\"max-connections\":360,"
            + "\"health-path\":\"/health\",\"engine\":{\"slots\":64,\"kv-capacity\":147322,\"weights-mb\":230000,"
            + "\"adapter-slots\":8,\"loads-per-s\":1.8,\"models\":[{\"name\":\"boots\",\"weights-mb\":65100,"
            + "\"load-s\":2.2,\"warm-s\":1.1,\"disk-s\":1.4,\"adapters\":0,\"adapter-mb\":12}]}}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":5000,"
            + "\"idle-timeout-ms\":30000}}";

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try {
            exit = run(Path.of(arguments[0]));
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private record Arrival(String entry, long atMillis) {}

    private static int run(Path recordFile) throws Exception {
        List<String> hosts = new ArrayList<>(List.of("127.31.3.1"));
        for (int number = 1; number <= 4; number++) {
            hosts.add("127.31.1." + number);
            hosts.add("127.31.2." + number);
        }
        Rig rig = new Rig(recordFile, hosts);
        Store store = new Store("127.31.3.1", rig.appPort);
        store.put("op/config", CONFIG);
        Map<String, Arrival> atLeaving = new ConcurrentHashMap<>();
        Set<String> cut = ConcurrentHashMap.newKeySet();
        EngineRunner.Listener listener = new EngineRunner.Listener() {
            @Override
            public void arrived(EngineRunner runner, String request, String entry) {
                if (runner.leaving) {
                    atLeaving.put(request, new Arrival(entry, Rig.millis()));
                }
                rig.log("runs    " + request + " at " + runner.id + " from " + entry + (runner.leaving ? " (leaving)" : ""));
            }

            @Override
            public void ended(EngineRunner runner, String request, int events, boolean complete) {
                if (!complete) {
                    cut.add(request);
                }
                rig.log((complete ? "ends    " : "is cut  ") + request + " at " + runner.id + " after " + events + " events");
            }
        };
        List<EngineRunner> runners = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            EngineRunner runner = new EngineRunner(
                    "i-" + number + "f3a91c2", "127.31.2." + number, rig.appPort, ZONES.get(number - 1), "v1", 86, 29, store, listener);
            runner.register();
            runners.add(runner);
        }
        for (int number = 1; number <= 4; number++) {
            String zone = ZONES.get(number - 1);
            rig.start("entry", "edge-" + zone + "-1", "127.31.1." + number, zone, store.address());
            rig.start("side", "side-" + zone + "-1", "127.31.2." + number, zone, store.address());
        }
        for (int number = 1; number <= 4; number++) {
            rig.awaitReady("127.31.1." + number, 40_000);
        }
        Thread.sleep(3_000);
        rig.say("ready");
        List<Caller.Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        long start = Rig.millis();
        long end = start + 17_000;
        AtomicInteger ids = new AtomicInteger();
        for (int number = 1; number <= 4; number++) {
            String entry = "127.31.1." + number;
            for (int client = 0; client < 10; client++) {
                long offset = (number * 10 + client) * 67L % 2_600;
                callers.add(Store.daemon(() -> call(rig, entry, ids, start + offset, end, outcomes)));
            }
        }
        EngineRunner leaver = runners.get(3);
        sleepUntil(start + 4_000);
        store.backUp();
        rig.say("the copy is made from which the store will come back");
        sleepUntil(start + 4_800);
        leaver.beginToLeave();
        rig.say("runner " + leaver.id + " leaves: all its answers say so");
        sleepUntil(start + 6_000);
        leaver.deregister();
        rig.say("the entry of runner " + leaver.id + " is removed");
        sleepUntil(start + 7_500);
        if (Rig.TROUBLE) {
            rig.say("a drill: the store is away");
            store.goAway();
            Thread.sleep(400);
            store.comeBackFromCopy();
            rig.say("the store is back from its copy, era 2");
        }
        sleepUntil(start + 10_000);
        leaver.exit();
        rig.say("runner " + leaver.id + " exits, four seconds after the removal of its entry");
        // What the runners wrote is written again, by the others with their next ping; the leaver's entry goes after three
        // ping intervals of silence, as that of any runner.
        sleepUntil(start + 11_500);
        store.remove("servers/" + leaver.id);
        rig.say("the entry of runner " + leaver.id + " is gone for good");
        for (Thread caller : callers) {
            caller.join(30_000);
        }
        return judge(rig, outcomes, atLeaving, cut);
    }

    private static void call(Rig rig, String entry, AtomicInteger ids, long begin, long end, List<Caller.Outcome> outcomes) {
        try {
            sleepUntil(begin);
        } catch (InterruptedException ended) {
            return;
        }
        Caller caller = new Caller(entry, rig.frontPort);
        while (Rig.millis() < end) {
            String number = String.format("%05x", ids.incrementAndGet());
            String id = "9c41d07be2a" + number;
            rig.log("sends   " + id + " to " + entry);
            Caller.Outcome outcome = caller.call(
                    id,
                    "POST",
                    "/design/2f",
                    "X-Entry: " + entry + "\r\nModel: boots\r\nToken-Count: 1460,172\r\nPrompt-Prefix: 5c1e07a2:210,91bd3f06:140,e4"
                            + number + ":1110\r\n",
                    Http.bytes("boots " + id),
                    15_000);
            outcomes.add(outcome);
            rig.log("gets    " + id + " " + outcome.status() + (outcome.leaving() ? " with Server-Leaving" : "") + " "
                    + outcome.detail());
            try {
                Thread.sleep(100);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private static int judge(
            Rig rig, List<Caller.Outcome> outcomes, Map<String, Arrival> atLeaving, Set<String> cut) {
        // The head of a stream reaches the client about when the runner sends it: 50 ms after the request has arrived.
        Map<String, Long> passedOn = new HashMap<>();
        Set<String> complete = new HashSet<>();
        for (Caller.Outcome outcome : outcomes) {
            Arrival arrival = atLeaving.get(outcome.request());
            if (arrival != null && outcome.headAtMillis() > 0 && outcome.leaving()) {
                passedOn.merge(outcome.entry(), outcome.headAtMillis(), Math::min);
            }
            if (outcome.status() == 200) {
                complete.add(outcome.request());
            }
        }
        int late = 0;
        int lost = 0;
        for (Caller.Outcome outcome : outcomes) {
            Long first = passedOn.get(outcome.entry());
            if (atLeaving.containsKey(outcome.request()) && first != null && outcome.sentAtMillis() > first + DRAIN_MILLIS) {
                late++;
                lost += complete.contains(outcome.request()) ? 0 : 1;
                rig.say("DRAIN: " + outcome.request() + " was sent to " + outcome.entry() + " "
                        + (outcome.sentAtMillis() - first) + " ms after that had passed on Server-Leaving, and ran at the runner"
                        + (cut.contains(outcome.request()) ? ", which cut it as it exited" : ""));
            }
        }
        rig.say("requests " + outcomes.size() + ", complete answers " + complete.size()
                + ", entries that passed on Server-Leaving " + passedOn.size()
                + ", requests that reached the leaving runner too late " + late + ", of these without a complete answer " + lost);
        if (passedOn.isEmpty() || complete.size() < outcomes.size() / 2) {
            rig.say("the case could not run");
            return 2;
        }
        rig.say(late > 0 ? "DRAIN is broken" : "DRAIN holds");
        return late > 0 ? 1 : 0;
    }

    private static void sleepUntil(long atMillis) throws InterruptedException {
        Thread.sleep(Math.max(1, atMillis - Rig.millis()));
    }
}
