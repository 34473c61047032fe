package stage;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over blocking sockets: one thread a channel. */
final class Http {

    private Http() {}

    /** A head and a body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Handler of one request; writes the answer, and returns whether the channel stays open. */
    interface Handler {
        boolean handle(Message request, Socket channel, OutputStream out) throws Exception;
    }

    /** A listener on one address. */
    static final class Server {
        final ServerSocket socket;
        final Set<Socket> channels = ConcurrentHashMap.newKeySet();
        private final Handler handler;
        private volatile boolean open = true;

        Server(String address, int port, Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(address, port), 512);
            daemon(this::accept);
        }

        private void accept() {
            while (open) {
                try {
                    Socket channel = socket.accept();
                    channel.setTcpNoDelay(true);
                    channels.add(channel);
                    if (!open) {
                        reset(channel);
                        return;
                    }
                    daemon(() -> serve(channel));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket channel) {
            try (channel) {
                InputStream in = new java.io.BufferedInputStream(channel.getInputStream());
                OutputStream out = channel.getOutputStream();
                Message request = read(in, true);
                while (request != null && handler.handle(request, channel, out)) {
                    request = read(in, true);
                }
            } catch (Exception broken) {
                return;
            } finally {
                channels.remove(channel);
            }
        }

        /** Stop listening and break all channels, as a process that exits does. */
        void exit() {
            open = false;
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed in any case.
            }
            channels.forEach(Http::reset);
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void reset(Socket channel) {
        try {
            channel.setSoLinger(true, 0);
            channel.close();
        } catch (IOException ignored) {
            // It is closed in any case.
        }
    }

    static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.writeBytes(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static void json(OutputStream out, int status, String body) throws IOException {
        answer(out, status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException(line.length() == 0 ? "closed" : "broken off");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    static Message head(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Read a whole message; null if the channel was closed before one began. */
    static Message read(InputStream in, boolean request) throws IOException {
        Message head;
        try {
            head = head(in);
        } catch (EOFException closed) {
            if ("closed".equals(closed.getMessage())) {
                return null;
            }
            throw closed;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("Transfer-Encoding").equals("chunked")) {
            for (int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                    size > 0;
                    size = Integer.parseInt(line(in).split(";")[0].strip(), 16)) {
                body.writeBytes(exactly(in, size));
                line(in);
            }
            line(in);
        } else if (!head.header("Content-Length").isEmpty()) {
            body.writeBytes(exactly(in, Integer.parseInt(head.header("Content-Length"))));
        } else if (!request) {
            body.writeBytes(in.readAllBytes());
        }
        return new Message(head.first(), head.headers(), body.toByteArray());
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("broken off");
        }
        return bytes;
    }
}
