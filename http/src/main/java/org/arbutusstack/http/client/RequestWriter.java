package org.arbutusstack.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.xnio.conduits.ConduitStreamSinkChannel;

/** Writer of the head and the body of one request; {@link #unsentBytes()} may be called by any thread. */
final class RequestWriter {

    private static final String LINE_END = "\r\n";

    private final ByteBuffer[] parts;

    private volatile long unsentBytes;

    RequestWriter(HttpTarget target, HttpCall call) {
        this.parts = new ByteBuffer[] {ByteBuffer.wrap(headOf(target, call)), ByteBuffer.wrap(call.body())};
        this.unsentBytes = call.body().length;
    }

    private static byte[] headOf(HttpTarget target, HttpCall call) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.put("Host", target.toString());
        if (call.body().length > 0 || !"GET".equals(call.method())) {
            headers.put("Content-Length", Integer.toString(call.body().length));
        }
        headers.putAll(call.headers());
        StringBuilder head = new StringBuilder();
        head.append(call.method())
                .append(' ')
                .append(call.path())
                .append(" HTTP/1.1")
                .append(LINE_END);
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(toOneLine(value)).append(LINE_END));
        return head.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Replace line ends, which would begin another header. */
    private static String toOneLine(String value) {
        return value.replace('\r', ' ').replace('\n', ' ');
    }

    /**
     * Write as much as the connection takes.
     *
     * @return whether the whole request has left
     * @throws IOException if the connection broke
     */
    boolean write(ConduitStreamSinkChannel sink) throws IOException {
        ByteBuffer body = parts[parts.length - 1];
        long count = 1;
        while (count > 0 && (parts[0].hasRemaining() || body.hasRemaining())) {
            count = sink.write(parts);
            unsentBytes = body.remaining();
        }
        return !parts[0].hasRemaining() && !body.hasRemaining() && sink.flush();
    }

    /** Return how much of the body the connection has not taken. */
    long unsentBytes() {
        return unsentBytes;
    }
}
