package stage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in of an idle model runner by PROTOCOL.md: it holds one model and takes no orders in these cases. */
final class EngineRunner {

    final String id;
    final String service;
    final long born = System.currentTimeMillis();
    final Http.Server server;

    EngineRunner(String address, int port, String id, String service) throws IOException {
        this.id = id;
        this.service = service;
        this.server = new Http.Server(address, port, this::handle);
    }

    String address() {
        return server.socket.getInetAddress().getHostAddress() + ":" + server.socket.getLocalPort();
    }

    private static final String MODELS = "\"stage\":\"unified\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";

    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"milano-fiera\","
                + "\"version\":\"v1\",\"slots\":48,\"state\":\"" + state + "\",\"cold-remaining-ms\":0," + MODELS
                + ",\"seq\":0,\"born\":" + born + "}";
    }

    private boolean handle(Http.Message request, Socket channel, OutputStream out) throws Exception {
        String target = request.header("Target-Instance");
        if (!target.isEmpty() && !target.equals(id)) {
            Http.answer(out, 421, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", new byte[0]);
        } else if (request.target().equals("/report")) {
            Http.json(out, 200, "{" + MODELS + ",\"busy\":false,\"seq\":0,\"queue-depth\":0,\"active\":0,\"kv-used\":0,"
                    + "\"kv-total\":120435,\"handles\":0,\"state\":\"ready\",\"runs\":[],\"born\":" + born
                    + ",\"available\":{\"in-memory\":[\"m0\"],\"on-disk\":[\"m0\"]}}");
        } else if (request.target().equals("/health")) {
            Http.answer(out, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (request.target().equals("/order")) {
            Http.json(out, 400, "{}");
        } else {
            String echo = "Request-Id: " + request.header("Request-Id") + "\r\n";
            Http.answer(out, 503, echo + "Not-Executed: 1\r\n", "full".getBytes(StandardCharsets.UTF_8));
        }
        return true;
    }

    static final String SERVICE = "{\"name\":\"testi\",\"health-path\":\"/health\",\"max-connections\":310,"
            + "\"engine\":{\"slots\":48,\"kv-capacity\":120435,\"weights-mb\":230000,\"adapter-slots\":8,"
            + "\"loads-per-s\":2.4,\"models\":[{\"name\":\"m0\",\"weights-mb\":65100,\"load-s\":2.2,\"adapters\":0,"
            + "\"adapter-mb\":12}]}}";
}
