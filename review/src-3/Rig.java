import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The processes of the project in a case, their settings, and the record of the case. */
final class Rig {

    static final long T0 = System.nanoTime();

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final Path temporary;

    private final PrintWriter record;

    private final List<Process> processes = new ArrayList<>();

    final int frontPort;
    final int readyPort;
    final int internalPort;
    final int appPort;

    Rig(Path recordFile, List<String> hosts) throws IOException {
        temporary = Files.createTempDirectory("case");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        int[] ports = freePorts(hosts, 20);
        frontPort = ports[0];
        readyPort = ports[1];
        appPort = ports[2];
        internalPort = ports[3];
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Find ports in a row that are free on all addresses, so that they are the same on all machines. */
    private static int[] freePorts(List<String> hosts, int count) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 20_000 + random.nextInt(12_000);
            boolean free = true;
            for (String host : hosts) {
                for (int port = first; free && port < first + count; port++) {
                    try (ServerSocket probe = new ServerSocket()) {
                        probe.bind(new InetSocketAddress(host, port));
                    } catch (IOException taken) {
                        free = false;
                    }
                }
            }
            if (free) {
                int[] ports = new int[count];
                Arrays.setAll(ports, index -> first + index);
                return ports;
            }
        }
        throw new IOException("no free ports");
    }

    static long millis() {
        return (System.nanoTime() - T0) / 1_000_000;
    }

    synchronized void log(String text) {
        record.printf("%8.3f %s%n", millis() / 1_000.0, text);
        record.flush();
    }

    /** Write to the record and to standard output. */
    void say(String text) {
        log(text);
        System.out.println(text);
    }

    /** Settings as a small deployment has them, with the bounds of the sheet of its small site. */
    private String settings(String name, String machineClass, String host, String zone, String store) {
        boolean isEdge = machineClass.equals("edge");
        return "{\"node-name\":\"" + name + "\",\"role\":\"" + (isEdge ? "entry" : "side") + "\",\"machine-class\":\""
                + machineClass + "\",\"serves\":[\"" + machineClass + "\"],\"ip\":\"" + host + "\",\"zone\":\"" + zone
                + "\",\"region\":\"prairie\",\"zones\":{\"regina\":\"prairie\",\"saskatoon\":\"prairie\","
                + "\"brandon\":\"prairie\",\"lethbridge\":\"prairie\"},\"listen\":"
                + (isEdge
                        ? "{\"front\":\"" + host + ":" + frontPort + "\",\"ready\":\"" + host + ":" + readyPort + "\"}"
                        : "{}")
                + (isEdge ? "" : ",\"app\":\"" + host + ":" + appPort + "\"")
                + ",\"internal-ports\":[" + internalPort + "," + (internalPort + 15) + "],\"seeds\":[],"
                + "\"bootstrap\":true,\"tolerance-member\":false,\"limits\":{\"cpu-share\":0.57,\"cores\":1,"
                + "\"memory-mb\":430,\"max-fds\":4100,\"link-mbps\":1000.0,\"disk-mb\":0},\"data-dir\":null,"
                + "\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat-ms\":1200,\"contracts\":[\"base\",\"drain\","
                + "\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"],"
                + "\"fault-tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{\"seed-lag-s\":3,"
                + "\"addr-reuse-s\":2,\"stable-window-ms\":3000,\"ack-ms\":4000,\"catch-up-s\":4,\"drain-ms\":2000,"
                + "\"grace-s\":8,\"loss-slack-ms\":200,\"config-apply-ms\":2000,\"rollback-slack-ms\":250,"
                + "\"max-stretch-ms\":5000,\"retry-budget-ratio\":0.2,\"budget-window-s\":10,\"retry-burst\":54,"
                + "\"recovery-s\":12,\"pass-ms\":120,\"retry-after-s\":0,\"fencing-required\":true,\"lease-ms\":3000,"
                + "\"thaw-slack-ms\":300,\"ceiling-window-s\":5,\"ceiling-overage\":1.1},\"platform\":{\"address\":\""
                + store + "\",\"form\":\"kv\",\"writes-per-s\":400,\"reads-per-s\":2000,\"history-s\":20,"
                + "\"value-bytes\":1048576,\"min-ttl-ms\":1000}}";
    }

    /** The command of a role in the deploy file. */
    private static List<String> command(String role) throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\][^\\[]*?run = \"([^\"]*)\"").matcher(file);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no role " + role);
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    /** Start a process of the project as the deploy file says. */
    Process start(String role, String name, String host, String zone, String store) throws IOException {
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, settings(name, role.equals("entry") ? "edge" : "side", host, zone, store));
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.environment().clear();
        for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (System.getenv(variable) != null) {
                builder.environment().put(variable, System.getenv(variable));
            }
        }
        builder.environment().put("ARBUTUSSTACK_SETTINGS", file.toString());
        builder.environment().put("ARBUTUS_LINK_KEY", "arbutusstack links of this deployment");
        builder.environment().put("ARBUTUS_LOG_TARGET", "stdout");
        builder.environment().put("ARBUTUS_ADMIN_PORT", Integer.toString(internalPort + 16));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        log("process " + name + " started at " + host);
        return process;
    }

    /** Send a signal to a process that this case started. */
    void signal(Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Wait until an entry says that it is ready. */
    void awaitReady(String host, long waitMillis) throws Exception {
        long end = millis() + waitMillis;
        while (millis() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, readyPort), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream().write(Http.bytes("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"));
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                // The process is starting.
            }
            Thread.sleep(50);
        }
        throw new IOException(host + " isn't ready");
    }

    /** Return the lines of the logs of the processes that contain a text. */
    List<String> logLines(String text) throws IOException {
        List<String> found = new ArrayList<>();
        try (var files = Files.list(temporary)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".log")).sorted().toList()) {
                Files.readAllLines(file).stream()
                        .filter(line -> line.contains(text))
                        .forEach(line -> found.add(file.getFileName() + ": " + line));
            }
        }
        return found;
    }

    void endAll() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor();
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("logs are in " + temporary);
            return;
        }
        try (var files = Files.list(temporary)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(temporary);
        } catch (IOException gone) {
            // Nothing is left to delete.
        }
    }

    static InetAddress address(String host) throws IOException {
        return InetAddress.getByName(host);
    }
}
