package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Small deployment on loopback: a store, runners, and the project's processes by the commands of the deploy file. */
final class Deployment implements AutoCloseable {
    static final String HOST = "boots.example";
    final StoreStandIn store;
    final Report report;
    final int front;
    final int ready;
    private final int internal;
    private final String network;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final List<RunnerStandIn> runners = new ArrayList<>();
    private final String deployFile;

    Deployment(Report report) throws IOException {
        this.report = report;
        this.folder = Files.createTempDirectory("review-");
        Random random = new Random();
        this.network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        int base = 0;
        while (base == 0 || !isFree(base)) {
            base = 12_000 + random.nextInt(18_000);
        }
        this.front = base;
        this.ready = base + 1;
        this.internal = base + 2;
        this.store = new StoreStandIn(ip(250));
        this.deployFile = Files.readString(Path.of("deploy/system.toml"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private boolean isFree(int base) {
        for (int machine = 1; machine <= 8; machine++) {
            for (int port = base; port < base + 12; port++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(InetAddress.getByName(network + machine), port));
                } catch (IOException taken) {
                    return false;
                }
            }
        }
        return true;
    }

    String ip(int machine) {
        return network + machine;
    }

    /** Add a runner on a machine and register it in the store. */
    RunnerStandIn runner(int machine, String id, String service, List<String> models, RunnerStandIn.Behavior behavior)
            throws IOException {
        RunnerStandIn runner =
                new RunnerStandIn(ip(machine), id, service, "regina", models, report, behavior);
        runners.add(runner);
        store.put("servers/" + id, runner.entry());
        return runner;
    }

    /** Write the operator's configuration. */
    void config(String json) {
        store.put("op/config", json);
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < pairs.length; index += 2) {
            map.put((String) pairs[index], pairs[index + 1]);
        }
        return map;
    }

    Process entry(int machine) throws IOException {
        Map<String, Object> settings = settings(machine, "edge");
        settings.put("listen", map("front", ip(machine) + ":" + front, "ready", ip(machine) + ":" + ready));
        return start("entry", machine, settings);
    }

    Process side(int machine, RunnerStandIn runner) throws IOException {
        Map<String, Object> settings = settings(machine, "side");
        settings.put("app", runner.address);
        return start("side", machine, settings);
    }

    private Map<String, Object> settings(int machine, String kind) {
        boolean edge = kind.equals("edge");
        return map(
                "node-name", kind + "-regina-" + machine,
                "role", edge ? "entry" : "side",
                "machine-class", kind,
                "serves", List.of(kind),
                "ip", ip(machine),
                "zone", "regina",
                "region", "prairie",
                "zones", map("regina", "prairie"),
                "internal-ports", List.of((long) internal, (long) internal + 8),
                "seeds", List.of(),
                "bootstrap", true,
                "tolerance-member", edge,
                "limits", map("cpu-share", 0.57, "cores", 1L, "memory-mb", edge ? 430L : 362L, "max-fds", 4_100L,
                        "link-mbps", 1_000.0, "disk-mb", 0L),
                "discovery", "platform",
                "entry", "vip",
                "heartbeat-ms", 1_200L,
                "bounds", map("seed-lag-s", 3L, "addr-reuse-s", 2L, "stable-window-ms", 3_000L, "ack-ms", 4_000L,
                        "catch-up-s", 4L, "drain-ms", 2_000L, "grace-s", 8L, "loss-slack-ms", 200L,
                        "config-apply-ms", 2_000L, "rollback-slack-ms", 250L, "max-stretch-ms", 5_000L,
                        "retry-budget-ratio", 0.2, "budget-window-s", 10L, "retry-burst", 54L, "recovery-s", 12L,
                        "pass-ms", 120L, "retry-after-s", 0L, "fencing-required", true, "lease-ms", 3_000L,
                        "thaw-slack-ms", 300L, "ceiling-window-s", 5L, "ceiling-overage", 1.1),
                "platform", map("address", ip(250) + ":" + store.port(), "form", "kv", "writes-per-s", 400L,
                        "reads-per-s", 2_000L, "history-s", 20L, "value-bytes", 1_048_576L, "min-ttl-ms", 1_000L));
    }

    private Process start(String role, int machine, Map<String, Object> settings) throws IOException {
        Path file = folder.resolve(role + "-" + machine + ".json");
        Files.writeString(file, Json.write(settings), StandardCharsets.UTF_8);
        Matcher section = Pattern.compile("\\[roles\\." + role + "\\](.*?)(\\n\\[|\\z)", Pattern.DOTALL)
                .matcher(deployFile);
        if (!section.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        Matcher run = Pattern.compile("run = \"([^\"]*)\"").matcher(section.group(1));
        run.find();
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        Matcher variable = Pattern.compile("([A-Z_]+) = \"([^\"]*)\"").matcher(section.group(1));
        while (variable.find()) {
            environment.put(variable.group(1), variable.group(2));
        }
        environment.put("ARBUTUSSTACK_SETTINGS", file.toString());
        // The deploy file's port may be taken on this machine.
        environment.put("ARBUTUS_ADMIN_PORT", Integer.toString(internal + 9));
        Path log = folder.resolve(role + "-" + machine + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        processes.add(process);
        report.line("process " + role + "-" + machine + " started");
        return process;
    }

    /** Wait until an entry says that it is ready. */
    void awaitReady(int machine) throws InterruptedException {
        long endNanos = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < endNanos) {
            if (isReady(machine)) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("the entry is not ready");
    }

    boolean isReady(int machine) {
        return Client.ask(ip(machine), ready, "GET", "ready", "/ready", Map.of(), new byte[0], 1_000).status() == 200;
    }

    /** Return the lines of a process's log that contain a text. */
    List<String> log(String process, String text) throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve(process + ".log"))) {
            return lines.filter(line -> line.contains(text)).limit(12).toList();
        }
    }

    Path logFile(String process) {
        return folder.resolve(process + ".log");
    }

    private void killAll() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        for (RunnerStandIn runner : runners) {
            runner.close();
        }
        store.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> paths = Files.walk(folder)) {
                for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        } else {
            System.err.println("kept " + folder);
        }
    }
}
