package stage;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Two of four entries start, and the platform says by SIGHUP that their settings file has changed before they are ready.
 * The rule is broken if both of them end by themselves three times.
 */
public final class HupStart {

    /** The platform restarts a process that has ended after a short delay. */
    private static final long RESTART_MILLIS = 500;
    private static final int ROUNDS = 3;

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
        PlainRunner runner = new PlainRunner("127.0.3.1", 0, "i-1", "sportello", 20, (who, id, path) -> {});
        store.put("servers/i-1", runner.entry("ready"));
        store.put("op/config", "{\"version\":4,\"routes\":[{\"name\":\"r-1\",\"host\":\"boat.example\","
                + "\"path-prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout-ms\":1500,\"target-latency-ms\":121,"
                + "\"priority\":2,\"service\":\"sportello\",\"max-attempts\":1,\"sticky\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"sportello\",\"health-path\":\"/health\",\"max-connections\":110}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,\"header-timeout-ms\":5000,"
                + "\"idle-timeout-ms\":30000}}");
        int[][] ports = new int[2][];
        String[] settings = new String[2];
        int[] ends = new int[2];
        for (int index = 0; index < 2; index++) {
            String ip = "127.0.2." + (index + 1);
            ports[index] = Stage.freePorts(ip, 3);
            settings[index] = Stage.settings(
                    "edge-" + (index + 1), "entry", ip, ports[index], "", store.address(), Stage.CONTRACTS);
        }
        // Two more entries get no SIGHUP, so that those that do are half of the machines.
        for (int index = 2; index < 4; index++) {
            String ip = "127.0.2." + (index + 1);
            int[] own = Stage.freePorts(ip, 3);
            String name = "edge-" + (index + 1);
            stage.start("entry", name, Stage.settings(name, "entry", ip, own, "", store.address(), Stage.CONTRACTS));
            if (!stage.awaitReady(ip, own[1], 20_000)) {
                return Stage.FAILED;
            }
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int index = 0; index < 2; index++) {
                String name = "edge-" + (index + 1);
                Process entry = stage.start("entry", name, settings[index]);
                Stage.sleep(100);
                if (stage.trouble) {
                    Stage.signal(entry, "HUP");
                    record.line("SIGHUP to %s, 100 ms after its start", name);
                }
                boolean ready = stage.awaitReady("127.0.2." + (index + 1), ports[index][1], 4_000);
                if (entry.isAlive() && ready) {
                    record.line("%s is ready", name);
                    Stage.signal(entry, "TERM");
                    if (!entry.waitFor(9, TimeUnit.SECONDS)) {
                        return Stage.FAILED;
                    }
                    record.line("%s has stopped on SIGTERM", name);
                } else if (!entry.isAlive()) {
                    ends[index]++;
                    record.line("%s has ended by itself, exit code %d", name, entry.exitValue());
                } else {
                    return Stage.FAILED;
                }
                Stage.sleep(RESTART_MILLIS);
            }
        }
        record.line("ended by themselves: edge-1 %d times, edge-2 %d times", ends[0], ends[1]);
        return ends[0] >= ROUNDS && ends[1] >= ROUNDS ? Stage.BROKEN : Stage.HELD;
    }
}
