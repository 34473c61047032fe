package stage;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the roles of the deploy file as processes, and ends them. */
final class Stage implements AutoCloseable {

    static final String BOUNDS = "{\"seed-lag-s\":3,\"addr-reuse-s\":2,\"stable-window-ms\":3000,\"ack-ms\":4000,"
            + "\"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":8,\"loss-slack-ms\":200,\"config-apply-ms\":2000,"
            + "\"rollback-slack-ms\":250,\"max-stretch-ms\":5000,\"retry-budget-ratio\":0.2,\"budget-window-s\":10,"
            + "\"retry-burst\":58,\"recovery-s\":12,\"pass-ms\":120,\"retry-after-s\":0,\"fencing-required\":true,"
            + "\"lease-ms\":3000,\"thaw-slack-ms\":300,\"ceiling-window-s\":5,\"ceiling-overage\":1.1}";

    /** Exit codes; run.sh turns them into 1, 0 and 2, as the JVM has a use of its own for 1. */
    static final int BROKEN = 10;

    static final int HELD = 11;
    static final int FAILED = 12;

    final Path root;
    /** Settings and logs of the processes; removed at the end, unless KEEP_LOGS is set. */
    final Path temporary;
    final Record record;
    final boolean trouble;
    private final List<Process> started = new ArrayList<>();

    Stage(String folder) throws IOException {
        this.root = Path.of("").toAbsolutePath();
        this.temporary = Files.createTempDirectory("arbutusstack-review");
        this.record = new Record(Path.of(folder).resolve("record.txt"));
        this.trouble = !"0".equals(System.getenv("TROUBLE"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        record.line("start trouble=%s", trouble);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Find ports that are free on an address, the last one together with the next. */
    static int[] freePorts(String address, int count) throws IOException {
        int[] ports = anyFreePorts(address, count);
        while (true) {
            try (ServerSocket next = new ServerSocket()) {
                next.bind(new InetSocketAddress(address, ports[count - 1] + 1));
                return ports;
            } catch (IOException | IllegalArgumentException taken) {
                ports = anyFreePorts(address, count);
            }
        }
    }

    private static int[] anyFreePorts(String address, int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int index = 0; index < count; index++) {
            sockets[index] = new ServerSocket();
            sockets[index].bind(new InetSocketAddress(address, 0));
            ports[index] = sockets[index].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Start a role of deploy/system.toml with its command and its variables. */
    Process start(String role, String name, String settings) throws IOException {
        String file = Files.readString(root.resolve("deploy/system.toml"));
        Matcher table = Pattern.compile("\\[roles\\." + role + "\\]\n(.*?)(\n\\[|\\z)", Pattern.DOTALL).matcher(file);
        if (!table.find()) {
            throw new IOException("no role " + role);
        }
        Matcher run = Pattern.compile("run = \"([^\"]*)\"").matcher(table.group(1));
        Matcher env = Pattern.compile("env = \\{([^}]*)\\}").matcher(table.group(1));
        if (!run.find() || !env.find()) {
            throw new IOException("no command for " + role);
        }
        Path settingsFile = temporary.resolve(name + ".json");
        Files.writeString(settingsFile, settings);
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> variables = new HashMap<>();
        Matcher variable = Pattern.compile("(\\w+) = \"([^\"]*)\"").matcher(env.group(1));
        while (variable.find()) {
            variables.put(variable.group(1), variable.group(2));
        }
        // Several machines share this one, so that the port for metrics would not be free.
        variables.remove("ARBUTUS_ADMIN_PORT");
        variables.put("ARBUTUSSTACK_SETTINGS", settingsFile.toString());
        if (System.getenv("LOG_LEVEL") != null) {
            variables.put("ARBUTUS_LOG_LEVEL", System.getenv("LOG_LEVEL"));
        }
        builder.environment().putAll(variables);
        builder.directory(root.toFile());
        File log = temporary.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        synchronized (started) {
            started.add(process);
        }
        record.line("process %s pid=%d starts", name, process.pid());
        return process;
    }

    static String settings(
            String name, String role, String ip, int[] ports, String app, String store, String contracts) {
        String kind = role.equals("entry") ? "edge" : "side";
        String listen = role.equals("entry")
                ? "{\"front\":\"" + ip + ":" + ports[0] + "\",\"ready\":\"" + ip + ":" + ports[1] + "\"}"
                : "{}";
        return "{\"node-name\":\"" + name + "\",\"role\":\"" + role + "\",\"machine-class\":\"" + kind
                + "\",\"serves\":[\"" + kind + "\"],\"ip\":\"" + ip + "\",\"zone\":\"milano-fiera\","
                + "\"region\":\"nord-ovest\",\"zones\":{\"milano-fiera\":\"nord-ovest\"},\"listen\":" + listen
                + ",\"internal-ports\":[" + ports[2] + "," + (ports[2] + 15) + "],\"seeds\":[],\"bootstrap\":true,"
                + "\"limits\":{\"cpu-share\":0.57,\"cores\":1,\"memory-mb\":430,\"max-fds\":4100},"
                + "\"data-dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat-ms\":1200,"
                + "\"contracts\":[" + contracts + "],\"fault-tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},"
                + "\"bounds\":" + BOUNDS + (app.isEmpty() ? "" : ",\"app\":\"" + app + "\"")
                + ",\"platform\":{\"address\":\"" + store + "\",\"form\":\"kv\",\"writes-per-s\":400,"
                + "\"reads-per-s\":2000,\"history-s\":20,\"value-bytes\":1048576,\"min-ttl-ms\":1000}}";
    }

    static final String CONTRACTS =
            "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"";

    /** Send one request on a channel of its own. */
    static Http.Message request(String ip, int port, String text, int timeoutMillis) throws IOException {
        try (Socket channel = new Socket()) {
            channel.connect(new InetSocketAddress(ip, port), 1_000);
            channel.setSoTimeout(timeoutMillis);
            channel.setTcpNoDelay(true);
            channel.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new java.io.BufferedInputStream(channel.getInputStream());
            Http.Message answer = Http.read(in, false);
            if (answer == null) {
                throw new IOException("the channel was closed without an answer");
            }
            return answer;
        }
    }

    /** Ask an entry for its readiness until it says yes. */
    boolean awaitReady(String ip, int port, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            try {
                if (request(ip, port, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1_000).status()
                        == 200) {
                    return true;
                }
            } catch (IOException notYet) {
                // It starts.
            }
            sleep(50);
        }
        return false;
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        synchronized (started) {
            for (Process process : started) {
                process.destroyForcibly();
            }
            for (Process process : started) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
            started.clear();
        }
        removeTemporary();
    }

    private void removeTemporary() {
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs are in " + temporary);
            return;
        }
        File[] files = temporary.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        temporary.toFile().delete();
    }
}
