import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A model runner, by PROTOCOL.md: registers itself, answers with streams of events, reports, takes orders. */
final class EngineRunner {

    /** Told of what the runner does. */
    interface Listener {
        void arrived(EngineRunner runner, String request, String entry);

        void ended(EngineRunner runner, String request, int events, boolean complete);
    }

    final String id;
    final String host;
    private final String zone;
    private final Store store;
    private final Listener listener;
    private final String version;
    private final int events;
    private final long gapMillis;
    private final long born = System.currentTimeMillis();
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger active = new AtomicInteger();
    private long sequence;
    private volatile boolean registered;
    volatile boolean leaving;
    volatile boolean exited;

    /** The part of a prompt at which this runner crashes; empty for none. */
    volatile String harmfulPart = "";

    /** How many events it has written when it crashes at that part. */
    volatile int eventsBeforeCrash = 1;

    /** Time from a request to the head of its answer and its first event. */
    volatile long firstEventMillis = 50;

    /** Told of the request at which this runner has crashed. */
    volatile java.util.function.Consumer<String> crashListener = request -> {};

    EngineRunner(
            String id,
            String host,
            int port,
            String zone,
            String version,
            int events,
            long gapMillis,
            Store store,
            Listener listener)
            throws IOException {
        this.id = id;
        this.host = host;
        this.zone = zone;
        this.version = version;
        this.events = events;
        this.gapMillis = gapMillis;
        this.store = store;
        this.listener = listener;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 100);
        Store.daemon(this::accept);
    }

    private static final String MODELS = "[{\"name\":\"boots\",\"version\":1,\"adapters\":[]}]";

    /** Register, and write again every {@code heartbeat-ms} while the store is there. */
    void register() {
        registered = true;
        Store.daemon(() -> {
            while (registered) {
                if (!store.isAway()) {
                    sequence++;
                    store.put(
                            "servers/" + id,
                            "{\"service\":\"stitch-lm\",\"address\":\"" + host + ":" + server.getLocalPort()
                                    + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version + "\",\"slots\":64,\"state\":\"ready\","
                                    + "\"cold-remaining-ms\":0,\"seq\":" + sequence + ",\"born\":" + born
                                    + ",\"stage\":\"unified\",\"models\":" + MODELS + "}");
                }
                try {
                    Thread.sleep(1_200);
                } catch (InterruptedException ended) {
                    return;
                }
            }
        });
    }

    /** Begin to leave without ever reporting it: all answers say so from now on. */
    void beginToLeave() {
        leaving = true;
        registered = false;
    }

    /** Remove the entry. */
    void deregister() {
        store.remove("servers/" + id);
    }

    /** Exit as planned: what still runs is cut. */
    void exit() throws IOException {
        exited = true;
        server.close();
        sockets.forEach(Store::reset);
    }

    private void accept() {
        while (!exited) {
            try {
                Socket socket = server.accept();
                sockets.add(socket);
                Store.daemon(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                handle(socket, request);
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has gone, or this runner has exited.
        } finally {
            sockets.remove(socket);
        }
    }

    private String notice() {
        return leaving ? "Server-Leaving: 1\r\n" : "";
    }

    private void handle(Socket socket, Http.Message request) throws IOException, InterruptedException {
        String path = request.target().split("\\?")[0];
        if (path.equals("/health")) {
            answer(socket, leaving ? 503 : 200, notice() + "Instance-Id: " + id + "\r\n", "{\"born\":" + born + "}");
        } else if (path.equals("/report")) {
            answer(socket, 200, notice() + "Content-Type: application/json\r\n",
                    "{\"stage\":\"unified\",\"models\":" + MODELS + ",\"busy\":false,\"seq\":0,\"queue-depth\":0,"
                            + "\"active\":" + active + ",\"kv-used\":" + 1_500 * active.get()
                            + ",\"kv-total\":147322,\"handles\":0,\"state\":\"ready\",\"runs\":[],\"born\":" + born
                            + ",\"available\":{\"in-memory\":[],\"on-disk\":[]}}");
        } else if (path.equals("/order")) {
            answer(socket, 409, notice(), "{}");
        } else {
            run(socket, request);
        }
    }

    private void run(Socket socket, Http.Message request) throws IOException, InterruptedException {
        String requestId = request.header("Request-Id");
        String head = "Request-Id: " + requestId + "\r\n" + notice();
        if (!request.header("Target-Instance").isEmpty() && !request.header("Target-Instance").equals(id)) {
            answer(socket, 421, head + "Instance-Id: " + id + "\r\n", "");
            return;
        }
        listener.arrived(this, requestId, request.header("X-Entry"));
        active.incrementAndGet();
        String last = request.header("Last-Event-Id");
        int sent = last.isEmpty() ? 0 : Integer.parseInt(last);
        try {
            Thread.sleep(firstEventMillis);
            if (isHarmful(request) && eventsBeforeCrash == 0) {
                crash(requestId);
                return;
            }
            head = "Request-Id: " + requestId + "\r\n" + notice();
            OutputStream out = socket.getOutputStream();
            out.write(Http.bytes("HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    + "Response-Seal: " + id + "." + requestId + "\r\n" + head + "\r\n"));
            for (int number = sent + 1; number <= events; number++) {
                byte[] event = Http.bytes("id: " + number + "\ndata: token of " + version + "\n\n");
                out.write(Store.concat(
                        Store.concat(Http.bytes(Integer.toHexString(event.length) + "\r\n"), event), Http.bytes("\r\n")));
                sent = number;
                Thread.sleep(gapMillis);
                if (isHarmful(request) && number >= eventsBeforeCrash) {
                    crash(requestId);
                    return;
                }
            }
            out.write(Http.bytes("0\r\n\r\n"));
        } finally {
            active.decrementAndGet();
            listener.ended(this, requestId, sent, sent == events);
        }
    }

    private boolean isHarmful(Http.Message request) {
        return !harmfulPart.isEmpty() && request.header("Prompt-Prefix").contains(harmfulPart + ":");
    }

    /** Crash: all channels are reset, nothing is said to the store. */
    private void crash(String request) throws IOException {
        registered = false;
        exit();
        crashListener.accept(request);
    }

    private static void answer(Socket socket, int status, String headers, String body) throws IOException {
        byte[] bytes = Http.bytes(body);
        socket.getOutputStream()
                .write(Store.concat(
                        Http.bytes("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n"),
                        bytes));
    }
}
