package org.arbutusstack.http.response;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reader of lines that end with CRLF, from bytes that arrive in parts.
 *
 * <p>A line feed alone ends no line, although recipients may accept that: servers that send one within a value would
 * otherwise add a line to the head.
 */
final class LineReader {

    private static final byte CARRIAGE_RETURN = '\r';

    private static final byte LINE_FEED = '\n';

    private static final int TYPICAL_LINE_BYTES = 128;

    private byte[] line = new byte[TYPICAL_LINE_BYTES];

    private int length;

    private boolean carriageReturnRead;

    /**
     * Read up to the end of the line, or all bytes if it has no end yet.
     *
     * @return the line without its end, decoded as ISO 8859-1; {@code null} if more bytes are needed
     * @throws ResponseFormatException if the line holds a control character other than a tab
     */
    String read(ByteBuffer bytes) throws ResponseFormatException {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (carriageReturnRead) {
                require(next == LINE_FEED, next);
                return takeLine();
            }
            if (next == CARRIAGE_RETURN) {
                carriageReturnRead = true;
            } else {
                require(Syntax.isText((char) (next & 0xff)), next);
                append(next);
            }
        }
        return null;
    }

    private void require(boolean permitted, byte next) throws ResponseFormatException {
        if (!permitted) {
            String place = carriageReturnRead ? " after a carriage return in " : " in ";
            throw new ResponseFormatException(
                    String.format("the byte 0x%02x", next) + place + Syntax.excerpt(beginning(length)));
        }
    }

    private void append(byte next) {
        if (length == line.length) {
            line = Arrays.copyOf(line, 2 * length);
        }
        line[length] = next;
        length++;
    }

    private String takeLine() {
        String complete = beginning(length);
        length = 0;
        carriageReturnRead = false;
        return complete;
    }

    /** Return the first characters of an incomplete line, as many as were read but not more than given. */
    String beginning(int maxCharacters) {
        return new String(line, 0, Math.min(length, maxCharacters), StandardCharsets.ISO_8859_1);
    }
}
