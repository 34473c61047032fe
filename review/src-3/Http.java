import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Heads and bodies of HTTP/1.1 messages, as far as the stand-ins need them. */
final class Http {

    /** A request or an answer. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private Http() {}

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("end of the channel");
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Read the head of a message; {@code null} if the channel has ended before it. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        try {
            message.first = line(in);
        } catch (EOFException ended) {
            return null;
        }
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            message.headers.put(next.substring(0, colon), next.substring(colon + 1).strip());
        }
        return message;
    }

    /** Read a message with its body; {@code null} if the channel has ended before it. */
    static Message read(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) {
            message.body = body(in, message);
        }
        return message;
    }

    static byte[] body(InputStream in, Message message) throws IOException {
        if (message.header("Transfer-Encoding").equals("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
                all.write(chunk);
            }
            return all.toByteArray();
        }
        String length = message.header("Content-Length");
        return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    /** Read one chunk; an empty one is the last. */
    static byte[] chunk(InputStream in) throws IOException {
        int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
        byte[] bytes = exactly(in, size);
        line(in);
        return bytes;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("end of the channel within a body");
        }
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
