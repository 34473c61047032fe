package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets: reading of messages, and a server with one thread for each connection. */
final class Http {
    private Http() {}

    /** A message: its first line, its headers without regard to case, and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the message ended within its head");
            }
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Read a head; null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.merge(line.substring(0, colon), line.substring(colon + 1).strip(), (a, b) -> a + ", " + b);
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Read a request with its body; null at the end of the connection. */
    static Message request(InputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equals(head.header("Transfer-Encoding"))) {
            int size = Integer.parseInt(line(in).strip(), 16);
            while (size > 0) {
                body.write(in.readNBytes(size));
                line(in);
                size = Integer.parseInt(line(in).strip(), 16);
            }
            line(in);
        } else if (!head.header("Content-Length").isEmpty()) {
            body.write(in.readNBytes(Integer.parseInt(head.header("Content-Length"))));
        }
        return new Message(head.firstLine(), head.headers(), body.toByteArray());
    }

    /** Answers one request; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Message request, Socket connection) throws Exception;
    }

    /** Server on one loopback address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String address, int port, Handler handler) throws IOException {
            this.socket = new ServerSocket();
            this.socket.setReuseAddress(true);
            this.socket.bind(new InetSocketAddress(InetAddress.getByName(address), port), 200);
            this.handler = handler;
            daemon(this::accept);
        }

        int port() {
            return socket.getLocalPort();
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    daemon(() -> serve(connection));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                Message request = request(in);
                while (request != null && handler.handle(request, connection)) {
                    request = request(in);
                }
            } catch (Exception ended) {
                // The peer closed the connection, or the stand-in was told to break it.
            } finally {
                open.remove(connection);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : open) {
                connection.close();
            }
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void answer(Socket connection, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        connection.getOutputStream().write(all.toByteArray());
        connection.getOutputStream().flush();
    }
}
