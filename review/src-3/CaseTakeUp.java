import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams break off as an entry is killed and are taken up at others, after all sides were restarted in turn. */
final class CaseTakeUp {

    private static final List<String> ZONES = List.of("regina", "saskatoon", "brandon", "lethbridge");

    private static final String CONFIG = "{\"version\":4,\"routes\":[{\"name\":\"squad-batch\",\"host\":\"boots.example\","
            + "\"path-prefix\":\"/squad/\",\"kind\":\"streaming\",\"timeout-ms\":20000,\"target-latency-ms\":2000,"
            + "\"target-gap-ms\":250,\"priority\":1,\"service\":\"stitch-lm\",\"max-attempts\":2,\"sticky\":true,"
            + "\"resumable\":true}],\"services\":[{\"name\":\"stitch-lm\",\"max-connections\":360,"
            + "\"health-path\":\"/health\",\"engine\":{\"slots\":64,\"kv-capacity\":147322,\"weights-mb\":230000,"
            + "\"adapter-slots\":8,\"loads-per-s\":1.8,\"models\":[{\"name\":\"boots\",\"weights-mb\":65100,"
            + "\"load-s\":2.2,\"warm-s\":1.1,\"disk-s\":1.4,\"adapters\":0,\"adapter-mb\":12}]}}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":5000,"
            + "\"idle-timeout-ms\":30000}}";

    /** What a client has of its stream. */
    private static final class Stream {
        final String firstId;
        final String firstEntry;
        final long limitAtMillis;
        int lastEvent;
        boolean complete;
        boolean takenUp;
        boolean wentOn;
        String answer = "";
        final Set<String> versions = new HashSet<>();

        Stream(String firstId, String firstEntry, long limitAtMillis) {
            this.firstId = firstId;
            this.firstEntry = firstEntry;
            this.limitAtMillis = limitAtMillis;
        }
    }

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
        List<String> hosts = new ArrayList<>(List.of("127.34.3.1"));
        for (int number = 1; number <= 4; number++) {
            hosts.add("127.34.1." + number);
            hosts.add("127.34.2." + number);
        }
        Rig rig = new Rig(recordFile, hosts);
        Store store = new Store("127.34.3.1", rig.appPort);
        store.put("op/config", CONFIG);
        EngineRunner.Listener listener = new EngineRunner.Listener() {
            @Override
            public void arrived(EngineRunner runner, String request, String entry) {
                rig.log("runs    " + request + " at " + runner.id + " from " + entry);
            }

            @Override
            public void ended(EngineRunner runner, String request, int events, boolean complete) {
                rig.log((complete ? "ends    " : "is cut  ") + request + " at " + runner.id + " at event " + events);
            }
        };
        Process[] sides = new Process[4];
        Process[] entries = new Process[4];
        for (int index = 0; index < 4; index++) {
            // Two runners of each version of the software, in service for good; 86 events, 140 ms apart.
            new EngineRunner(
                            "i-" + index + "f3a91c2",
                            "127.34.2." + (index + 1),
                            rig.appPort,
                            ZONES.get(index),
                            index % 2 == 0 ? "v1" : "v2",
                            86,
                            140,
                            store,
                            listener)
                    .register();
        }
        for (int index = 0; index < 4; index++) {
            entries[index] = startEntry(rig, store, index);
            sides[index] = startSide(rig, store, index);
        }
        for (int number = 1; number <= 4; number++) {
            rig.awaitReady("127.34.1." + number, 40_000);
        }
        Thread.sleep(4_000);
        rig.say("all machines are in touch");
        long start = Rig.millis();
        List<Stream> streams = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < 24; client++) {
            // All at the first entry: the platform hashes clients, and a zone's clients share their entry.
            Stream stream = new Stream(nextId(), "127.34.1.1", start + 20_000);
            streams.add(stream);
            clients.add(Store.daemon(() -> runClient(rig, stream)));
        }
        Thread.sleep(1_200);
        if (Rig.TROUBLE) {
            for (int index = 0; index < 4; index++) {
                rig.say("SIGTERM to the side at " + ZONES.get(index) + ", which is started again");
                rig.signal(sides[index], "TERM");
                sides[index].waitFor();
                sides[index] = startSide(rig, store, index);
                Thread.sleep(700);
            }
        }
        sleepUntil(start + 10_400);
        rig.say("the first entry is killed");
        entries[0].destroyForcibly();
        long killedAt = Rig.millis();
        // New streams at the other entries, from the time when the broken ones are taken up.
        List<Stream> others = new ArrayList<>();
        for (int client = 0; client < 12; client++) {
            Stream stream = new Stream(nextId(), "127.34.1." + (2 + client % 3), killedAt + 20_000);
            others.add(stream);
            clients.add(Store.daemon(() -> runClient(rig, stream)));
            Thread.sleep(50);
        }
        for (Thread client : clients) {
            client.join(Math.max(1, start + 34_000 - Rig.millis()));
        }
        return judge(rig, streams, others);
    }

    private static Process startEntry(Rig rig, Store store, int index) throws IOException {
        String zone = ZONES.get(index);
        return rig.start("entry", "edge-" + zone + "-1", "127.34.1." + (index + 1), zone, store.address());
    }

    private static Process startSide(Rig rig, Store store, int index) throws IOException {
        String zone = ZONES.get(index);
        return rig.start("side", "side-" + zone + "-1", "127.34.2." + (index + 1), zone, store.address());
    }

    private static String nextId() {
        return "9c41d07be2a" + String.format("%05x", IDS.incrementAndGet());
    }

    /** Send a request, and take its stream up at another entry if it breaks off; a promise is followed by one more try. */
    private static void runClient(Rig rig, Stream stream) {
        attempt(rig, stream, stream.firstId, stream.firstEntry);
        for (int tries = 0; tries < 2 && !stream.complete && stream.lastEvent > 0 && !stream.wentOn; tries++) {
            stream.takenUp = true;
            int before = stream.lastEvent;
            int number = 2 + Math.floorMod(stream.firstId.hashCode() + tries, 3);
            attempt(rig, stream, nextId(), "127.34.1." + number);
            stream.wentOn = stream.lastEvent > before || stream.complete;
            if (!stream.wentOn) {
                try {
                    Thread.sleep(700);
                } catch (InterruptedException ended) {
                    return;
                }
            }
        }
    }

    private static void attempt(Rig rig, Stream stream, String id, String entry) {
        long left = stream.limitAtMillis - Rig.millis();
        if (left < 500) {
            return;
        }
        String goesOn = stream.lastEvent == 0
                ? ""
                : "Last-Event-Id: " + stream.lastEvent + "\r\nResumes: " + stream.firstId + "\r\n";
        rig.log("sends   " + id + " to " + entry + (goesOn.isEmpty() ? "" : " to take " + stream.firstId + " up after event "
                + stream.lastEvent));
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry, rig.frontPort), 1_000);
            socket.setSoTimeout(2_100);
            socket.getOutputStream()
                    .write(Http.bytes("POST /squad/2f HTTP/1.1\r\nHost: boots.example\r\nRequest-Id: " + id
                            + "\r\nX-Entry: " + entry + "\r\nModel: boots\r\nToken-Count: 1460,172\r\nPrompt-Prefix: 5c1e07a2:210,"
                            + "91bd3f06:140,e4" + stream.firstId + ":1110\r\nRequest-Deadline: " + left + "\r\n" + goesOn
                            + "Content-Length: 5\r\n\r\nboots"));
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.head(in);
            if (answer == null) {
                rig.log("gets    " + id + " no answer");
                return;
            }
            stream.answer = Integer.toString(answer.status());
            if (answer.status() != 200) {
                stream.answer += " " + new String(Http.body(in, answer), StandardCharsets.UTF_8);
                rig.log("gets    " + id + " " + stream.answer);
                return;
            }
            for (byte[] chunk = Http.chunk(in); chunk.length > 0; chunk = Http.chunk(in)) {
                for (String event : new String(chunk, StandardCharsets.UTF_8).split("\n\n")) {
                    stream.lastEvent = Integer.parseInt(event.substring(4, event.indexOf('\n')));
                    stream.versions.add(event.substring(event.lastIndexOf(' ') + 1));
                }
            }
            stream.complete = true;
            rig.log("gets    " + id + " its whole stream, up to event " + stream.lastEvent);
        } catch (IOException broken) {
            rig.log("gets    " + id + " up to event " + stream.lastEvent + ": " + broken);
        }
    }

    private static int judge(Rig rig, List<Stream> streams, List<Stream> others) {
        long takenUp = streams.stream().filter(each -> each.takenUp).count();
        long wentOn = streams.stream().filter(each -> each.wentOn).count();
        long begun = others.stream().filter(each -> each.lastEvent > 0).count();
        long mixed = streams.stream().filter(each -> each.versions.size() > 1).count();
        streams.stream().filter(each -> each.takenUp && !each.wentOn).limit(1).forEach(each -> rig.say(
                "one that does not go on: " + each.firstId + " after event " + each.lastEvent + ", " + each.answer));
        rig.say("streams taken up " + takenUp + ", of these went on " + wentOn + "; new streams " + others.size()
                + ", of these begun " + begun + "; streams with events of two versions " + mixed);
        if (takenUp < 12 || begun < others.size() / 2) {
            rig.say("the case could not run");
            return 2;
        }
        boolean broken = wentOn * 2.0 / takenUp < begun * 1.0 / others.size();
        rig.say(broken ? "LOST is broken" : "LOST holds");
        return broken ? 1 : 0;
    }

    private static void sleepUntil(long atMillis) throws InterruptedException {
        Thread.sleep(Math.max(1, atMillis - Rig.millis()));
    }
}
