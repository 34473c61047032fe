package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Sound client of an entry: one request on a new channel. */
final class Client {
    private Client() {}

    /** The bytes that a client's own link carries in a second: 80 Mbit/s. */
    private static final long BYTES_PER_SECOND = 10_000_000;

    /** The bytes of a body that a client sends in a second: 16 Mbit/s. */
    private static final long SENT_BYTES_PER_SECOND = Long.getLong("up", 2_000_000);

    private static final int PART_BYTES = 32_768;

    /** Bytes of a body that a client keeps; it reads on but only counts what follows. */
    private static final int MAX_KEPT_BYTES = 8 * 1_024 * 1_024;

    /** What a client saw; complete only if the answer ended as its framing says. */
    record Answer(int status, Map<String, String> headers, byte[] body, long bytes, boolean complete, String end,
            long millis) {
        @Override
        public String toString() {
            return "status=" + status + " bytes=" + bytes + " complete=" + complete + " end=\"" + end
                    + "\" after_ms=" + millis;
        }
    }

    static Answer ask(String ip, int port, String method, String host, String path, Map<String, String> headers,
            byte[] body, long timeoutMillis) {
        long startNanos = System.nanoTime();
        Received received = new Received();
        int status = 0;
        Map<String, String> answered = Map.of();
        boolean complete = false;
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), 1_000);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (!"GET".equals(method)) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            OutputStream out = socket.getOutputStream();
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int sent = 0; sent < body.length; sent += PART_BYTES) {
                out.write(body, sent, Math.min(PART_BYTES, body.length - sent));
                out.flush();
                if (sent + PART_BYTES < body.length) {
                    pause(PART_BYTES * 1_000 / SENT_BYTES_PER_SECOND);
                }
            }
            InputStream in = new BufferedInputStream(new Limited(socket, startNanos + timeoutMillis * 1_000_000));
            Http.Message message = Http.head(in);
            if (message == null) {
                end = "channel closed without an answer";
            } else {
                status = Integer.parseInt(message.firstLine().split(" ")[1]);
                answered = message.headers();
                complete = body(in, message, received);
                end = complete ? "complete" : "broke off";
            }
        } catch (SocketTimeoutException late) {
            end = "no answer in time";
        } catch (IOException failure) {
            end = String.valueOf(failure.getMessage());
        }
        return new Answer(status, answered, received.toByteArray(), received.total, complete, end,
                (System.nanoTime() - startNanos) / 1_000_000);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean body(InputStream in, Http.Message message, Received received)
            throws IOException {
        if ("chunked".equals(message.header("Transfer-Encoding"))) {
            String line = Http.line(in);
            while (line != null) {
                int size = Integer.parseInt(line.strip(), 16);
                if (size == 0) {
                    return Http.line(in) != null;
                }
                byte[] part = in.readNBytes(size);
                received.write(part);
                if (part.length < size) {
                    return false;
                }
                Http.line(in);
                line = Http.line(in);
            }
            return false;
        }
        if (!message.header("Content-Length").isEmpty()) {
            int size = Integer.parseInt(message.header("Content-Length"));
            received.write(in.readNBytes(size));
            return received.total == size;
        }
        byte[] part = in.readNBytes(8_192);
        while (part.length > 0) {
            received.write(part);
            part = in.readNBytes(8_192);
        }
        return true;
    }

    /** The body received so far. */
    private static final class Received extends ByteArrayOutputStream {
        private long total;

        @Override
        public void write(byte[] part) {
            total += part.length;
            super.write(part, 0, Math.min(part.length, Math.max(0, MAX_KEPT_BYTES - size())));
        }
    }

    /** Input of a socket that fails once the client's time is over. */
    private static final class Limited extends InputStream {
        private final Socket socket;
        private final long startNanos = System.nanoTime();
        private final long endNanos;
        private long total;

        Limited(Socket socket, long endNanos) {
            this.socket = socket;
            this.endNanos = endNanos;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) {
                throw new SocketTimeoutException("the client's time is over");
            }
            socket.setSoTimeout((int) leftMillis);
            int count = socket.getInputStream().read(bytes, offset, length);
            total += Math.max(0, count);
            while (total > 65_536 + (System.nanoTime() - startNanos) * 1e-9 * BYTES_PER_SECOND) {
                pause(1);
            }
            return count;
        }
    }
}
