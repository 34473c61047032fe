package stage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a sound runner of a plain service by PROTOCOL.md, which works for a fixed time on each request. */
final class PlainRunner {

    /** Told of each request that begins to run. */
    interface Listener {
        void arrived(PlainRunner runner, String requestId, String path);
    }

    final String id;
    final String service;
    final long born = System.currentTimeMillis();
    final Http.Server server;
    final AtomicInteger running = new AtomicInteger();
    private final long workMillis;
    private final Listener listener;

    PlainRunner(String address, int port, String id, String service, long workMillis, Listener listener)
            throws IOException {
        this.id = id;
        this.service = service;
        this.workMillis = workMillis;
        this.listener = listener;
        this.server = new Http.Server(address, port, this::handle);
    }

    String address() {
        return server.socket.getInetAddress().getHostAddress() + ":" + server.socket.getLocalPort();
    }

    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"milano-fiera\","
                + "\"version\":\"v1\",\"slots\":6,\"state\":\"" + state + "\",\"cold-remaining-ms\":0,\"seq\":0,"
                + "\"born\":" + born + "}";
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
            Http.answer(out, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (running.incrementAndGet() > 6) {
            running.decrementAndGet();
            Http.answer(out, 503, echo + "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        listener.arrived(this, requestId, request.target());
        try {
            Stage.sleep(workMillis);
        } finally {
            running.decrementAndGet();
        }
        byte[] body = ("done " + requestId).getBytes(StandardCharsets.UTF_8);
        Http.answer(out, 200, echo + "Response-Seal: " + Integer.toHexString(requestId.hashCode()) + "\r\n", body);
        return true;
    }
}
