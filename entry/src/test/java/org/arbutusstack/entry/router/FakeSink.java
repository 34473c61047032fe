package org.arbutusstack.entry.router;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.http.server.ResponseSink;

/** {@link ResponseSink} that records the response and counts how often it is ended. */
final class FakeSink implements ResponseSink {

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private final Map<String, String> headers = new TreeMap<>();

    private int heads;

    private int status;

    private int ends;

    private boolean closed;

    private boolean unwritable;

    int status() {
        return status;
    }

    int heads() {
        return heads;
    }

    int ends() {
        return ends;
    }

    String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    String header(String name) {
        return headers.get(name);
    }

    @Override
    public void disconnect() {
        closed = true;
    }

    /** Let all that is written fail from now on. */
    void makeUnwritable() {
        unwritable = true;
    }

    @Override
    public void head(int answered, String contentType) {
        if (unwritable) {
            throw new IllegalStateException("the response cannot be written");
        }
        heads++;
        status = answered;
    }

    @Override
    public void header(String name, String value) {
        headers.put(name, value);
    }

    @Override
    public boolean write(byte[] bytes) {
        body.writeBytes(bytes);
        return true;
    }

    @Override
    public void end() {
        ends++;
    }

    @Override
    public void abort() {
        closed = true;
    }

    @Override
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void onClose(Runnable task) {}
}
