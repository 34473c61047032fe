package org.arbutusstack.http.response;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/** Complete head of a response, whose fields determine where its body ends and whether its connection persists. */
final class ResponseHead {

    private static final int OK = 200;

    private static final int SWITCHING_PROTOCOLS = 101;

    private static final int NO_CONTENT = 204;

    private static final String CONTENT_LENGTH = "Content-Length";

    private static final String TRANSFER_ENCODING = "Transfer-Encoding";

    private static final String CHUNKED = "chunked";

    private static final long NO_LENGTH = -1;

    private final StatusLine statusLine;

    private final Map<String, String> fields;

    private final long lengthBytes;

    private final boolean chunked;

    /**
     * Create the head of a response.
     *
     * @throws ResponseFormatException if its fields do not tell where the body ends, or if the status promises what was
     *     not asked for
     */
    ResponseHead(StatusLine statusLine, Map<String, String> fields) throws ResponseFormatException {
        this.statusLine = statusLine;
        this.fields = fields;
        this.lengthBytes = parseLength(fields.get(CONTENT_LENGTH));
        this.chunked = parseCodings(fields.get(TRANSFER_ENCODING));
        if (statusLine.status() == SWITCHING_PROTOCOLS) {
            throw new ResponseFormatException("a switch of protocols that no request asked for");
        }
        if (chunked && (lengthBytes != NO_LENGTH || statusLine.minorVersion() == 0)) {
            throw new ResponseFormatException("chunks together with a length or with a version that has none");
        }
        boolean mustBeEmpty = isInterim() || statusLine.status() == NO_CONTENT;
        if (mustBeEmpty && (chunked || lengthBytes > 0)) {
            throw new ResponseFormatException("content with status " + statusLine.status());
        }
    }

    /** Parse a length; a list of equal ones counts as one of them (RFC 9112, section 6.3). */
    private static long parseLength(String value) throws ResponseFormatException {
        if (value == null) {
            return NO_LENGTH;
        }
        List<String> lengths =
                Arrays.stream(value.split(",", -1)).map(Syntax::trim).toList();
        long first = parseNumber(lengths.get(0));
        for (String other : lengths) {
            if (parseNumber(other) != first) {
                throw new ResponseFormatException("the differing lengths " + Syntax.excerpt(value));
            }
        }
        return first;
    }

    private static long parseNumber(String digits) throws ResponseFormatException {
        if (!Syntax.isNumber(digits)) {
            throw new ResponseFormatException("the length " + Syntax.excerpt(digits));
        }
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException tooLarge) {
            throw new ResponseFormatException("the length " + Syntax.excerpt(digits) + ", more than any body");
        }
    }

    /** Return whether the body is chunked; requests ask for no other coding, so that the body could not be decoded. */
    private static boolean parseCodings(String value) throws ResponseFormatException {
        if (value == null) {
            return false;
        }
        List<String> codings = Stream.of(value.split(","))
                .map(Syntax::trim)
                .filter(coding -> !coding.isEmpty())
                .toList();
        if (codings.size() != 1 || !CHUNKED.equalsIgnoreCase(codings.get(0))) {
            throw new ResponseFormatException("the transfer coding " + Syntax.excerpt(value));
        }
        return true;
    }

    int status() {
        return statusLine.status();
    }

    Map<String, String> fields() {
        return fields;
    }

    /** Return whether the response to the request is still to follow. */
    boolean isInterim() {
        return statusLine.status() < OK;
    }

    /** Create the decoder of the body (RFC 9112, section 6.3). */
    BodyDecoder bodyDecoder(String method) {
        if (ResponseContent.isAbsent(method, statusLine.status())) {
            return new SizedBodyDecoder(0);
        }
        if (chunked) {
            return new ChunkedBodyDecoder();
        }
        return lengthBytes == NO_LENGTH ? new UnsizedBodyDecoder() : new SizedBodyDecoder(lengthBytes);
    }

    /** Return whether the server keeps the connection open after the response (RFC 9112, section 9.3). */
    boolean isPersistent() {
        List<String> options = Stream.of(fields.getOrDefault("Connection", "").split(","))
                .map(option -> Syntax.trim(option).toLowerCase(Locale.ROOT))
                .toList();
        return !options.contains("close") && (statusLine.minorVersion() > 0 || options.contains("keep-alive"));
    }
}
