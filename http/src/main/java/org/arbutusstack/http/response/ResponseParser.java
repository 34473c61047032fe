package org.arbutusstack.http.response;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Parser of the response to one request, by the grammar of HTTP/1.1 (RFC 9110, RFC 9112) and nothing else.
 *
 * <p>All who read responses use it, so that what counts as a response is decided once. Bytes that do not conform are
 * rejected rather than interpreted: whoever interprets them differently would see another response. Interim responses
 * are skipped. Does no I/O; not thread-safe.
 */
public final class ResponseParser {

    /** Sixteen times the maximum size of a response head in the limits that users specify; includes interim heads. */
    static final int MAX_HEAD_BYTES = 256 * 1_024;

    /** Maximum number of bytes between two parts of a body, or after the last one: sizes of chunks and trailers. */
    static final int MAX_FRAMING_BYTES = 256 * 1_024;

    private final String method;

    private final Handler handler;

    private final LineReader lines = new LineReader();

    private StatusLine statusLine;

    private FieldSection fields;

    private ResponseHead head;

    private BodyDecoder body;

    private int headBytes;

    /** The number of bytes since the last part of the body. */
    private int framingBytes;

    /** Callback interface for the parts of a response. */
    public interface Handler {

        /**
         * Handle the head of the response.
         *
         * @param status the status, from 200 to 599
         * @param headers the fields by name without regard to case; the values of repeated ones are joined by commas
         */
        void onHead(int status, Map<String, String> headers);

        /**
         * Handle a part of the content.
         *
         * @param bytes the bytes, at least one
         */
        void onContent(byte[] bytes);
    }

    /**
     * Create a parser.
     *
     * @param method the method of the request; a response to {@code HEAD} has no content
     * @param handler receives the parts of the response
     */
    public ResponseParser(String method, Handler handler) {
        this.method = Assert.hasText(method, "method");
        this.handler = Assert.notNull(handler, "handler");
    }

    /**
     * Parse the next bytes, up to the end of the response; bytes after that remain in the buffer.
     *
     * @param bytes the bytes that were received
     * @throws ResponseFormatException if they do not conform to the grammar or exceed a limit
     */
    public void parse(ByteBuffer bytes) throws ResponseFormatException {
        while (body == null && bytes.hasRemaining()) {
            parseHead(bytes);
        }
        if (body == null || body.isComplete()) {
            return;
        }
        int count = bytes.remaining();
        ByteArrayOutputStream content = new ByteArrayOutputStream(count);
        try {
            body.decode(bytes, content);
        } finally {
            // Content before the fault conforms, so that events of a stream are passed on as if they had come alone.
            if (content.size() > 0) {
                handler.onContent(content.toByteArray());
            }
        }
        framingBytes = content.size() > 0 ? 0 : framingBytes + count;
        requireAtMost(framingBytes, MAX_FRAMING_BYTES, "chunk sizes or trailers");
    }

    private void parseHead(ByteBuffer bytes) throws ResponseFormatException {
        int before = bytes.remaining();
        String line = lines.read(bytes);
        headBytes += before - bytes.remaining();
        requireAtMost(headBytes, MAX_HEAD_BYTES, "heads");
        if (line == null) {
            requireStatusLine();
        } else if (statusLine == null) {
            statusLine = StatusLine.parse(line);
            fields = new FieldSection();
        } else if (!line.isEmpty()) {
            fields.add(line);
        } else {
            endHead();
        }
    }

    private void requireStatusLine() throws ResponseFormatException {
        if (statusLine == null) {
            StatusLine.requireBeginning(lines.beginning(StatusLine.MAX_FORM_CHARACTERS));
        }
    }

    private void endHead() throws ResponseFormatException {
        ResponseHead complete = new ResponseHead(statusLine, fields.toMap());
        statusLine = null;
        if (complete.isInterim()) {
            return;
        }
        head = complete;
        body = complete.bodyDecoder(method);
        handler.onHead(complete.status(), complete.fields());
    }

    private static void requireAtMost(int count, int max, String what) throws ResponseFormatException {
        if (count > max) {
            throw new ResponseFormatException("more than " + max + " bytes of " + what);
        }
    }

    /**
     * Return whether the response is complete without the end of its connection.
     *
     * @return whether no byte of it is missing
     */
    public boolean isComplete() {
        return body != null && body.isComplete();
    }

    /**
     * Return whether the response is complete if its connection ends now.
     *
     * @return whether it is complete, or its end is that of the connection
     */
    public boolean isCompleteAtEndOfConnection() {
        return body != null && (body.isComplete() || body.endsWithConnection());
    }

    /**
     * Describe what is missing of a response that is not complete.
     *
     * @return the missing part, for logs
     */
    public String describeRest() {
        return body == null ? "the end of its head" : body.describeRest();
    }

    /**
     * Return whether the server keeps the connection open for another request.
     *
     * @return whether the response is complete and its head permits it
     */
    public boolean keepsConnection() {
        return isComplete() && head.isPersistent();
    }
}
