import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client with one kept channel to one entry, which sends the next request after the answer to the one before. */
final class Caller {

    /** What became of a request: a status, or 0 if the channel ended without an answer. */
    record Outcome(String request, String entry, long sentAtMillis, long headAtMillis, int status, boolean sealed, boolean leaving, boolean reused, String detail) {}

    private final String entry;
    private final int port;
    private Socket socket;
    private BufferedInputStream in;

    Caller(String entry, int port) {
        this.entry = entry;
        this.port = port;
    }

    Outcome call(String id, String method, String path, String headers, byte[] body, int timeoutMillis) {
        boolean reused = socket != null;
        long sentAt = Rig.millis();
        long headAt = 0;
        Http.Message answer = null;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(entry, port), 1_000);
                in = new BufferedInputStream(socket.getInputStream());
            }
            sentAt = Rig.millis();
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream()
                    .write(Store.concat(
                            Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: boots.example\r\nRequest-Id: " + id
                                    + "\r\nRequest-Deadline: " + timeoutMillis + "\r\n" + headers + "Content-Length: "
                                    + body.length + "\r\n\r\n"),
                            body));
            answer = Http.head(in);
            headAt = Rig.millis();
            if (answer != null) {
                answer.body = Http.body(in, answer);
            }
            if (answer == null) {
                close();
                return new Outcome(id, entry, sentAt, headAt, 0, false, false, reused, "closed without an answer");
            }
            if (answer.header("Connection").equalsIgnoreCase("close")) {
                close();
            }
            return new Outcome(
                    id,
                    entry,
                    sentAt,
                    headAt,
                    answer.status(),
                    !answer.header("Response-Seal").isEmpty(),
                    answer.header("Server-Leaving").equals("1"),
                    reused,
                    answer.status() == 200 ? "" : new String(answer.body));
        } catch (IOException failure) {
            close();
            boolean leaving = answer != null && answer.header("Server-Leaving").equals("1");
            return new Outcome(id, entry, sentAt, headAt, 0, false, leaving, reused, failure.toString());
        }
    }

    void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException closed) {
            // It is closed.
        }
        socket = null;
    }
}
