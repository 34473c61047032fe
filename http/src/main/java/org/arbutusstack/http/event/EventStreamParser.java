package org.arbutusstack.http.event;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.arbutusstack.kernel.Assert;

/**
 * Incremental parser that splits the bytes of a {@code text/event-stream} into events and rejects bytes that cannot be
 * part of one.
 *
 * <p>Stricter than the standard, which lets a reader ignore what it does not know: a blank line without an event,
 * comments, control characters and bytes that are not UTF-8 are rejected, and fields that the standard does not define
 * may only precede those that it does. Each byte is looked at once, so that bytes that are no event are rejected as
 * they arrive, without waiting for the end of a line. After a rejection nothing more may be parsed. Not thread-safe.
 */
public final class EventStreamParser {

    private static final String ID = "id";

    private static final String DATA = "data";

    private static final Set<String> STANDARD_FIELDS = Set.of(ID, DATA, "event", "retry");

    private static final int MAX_FIELD_NAME_BYTES = 32;

    private static final int MIN_BUFFER_BYTES = 128;

    /** A buffer that has grown further for one event is not kept for the next ones. */
    private static final int MAX_KEPT_BUFFER_BYTES = 8_192;

    private static final int FIRST_PRINTABLE = 0x20;

    private static final int DELETE = 0x7f;

    private final int maxEventBytes;

    private byte[] buffer = new byte[0];

    private int length;

    private int lineStart;

    /** The index of the colon that ends the name of the field; negative while the name is being read. */
    private int colon = -1;

    private boolean afterCarriageReturn;

    private boolean allAscii = true;

    private String id = "";

    private boolean hasId;

    private boolean hasData;

    private boolean hasStandardField;

    /**
     * Create a parser of one stream.
     *
     * @param maxEventBytes the maximum size of an event, in bytes
     */
    public EventStreamParser(int maxEventBytes) {
        this.maxEventBytes = (int) Assert.atLeast(maxEventBytes, 1, "maxEventBytes");
    }

    /**
     * Result of parsing a part of a stream.
     *
     * @param events the events that the part completes, in order
     * @param fault what is wrong with the bytes after these events; empty if nothing is
     * @param isTooLong whether the fault is that an event is too long
     */
    public record Result(List<ServerSentEvent> events, String fault, boolean isTooLong) {

        /**
         * Return whether the stream has been rejected.
         *
         * @return {@code true} if there is a fault
         */
        public boolean isRejected() {
            return !fault.isEmpty();
        }
    }

    /**
     * Parse the next part of the stream.
     *
     * @param bytes the part
     * @return the events that it completes, and its fault if it has one
     */
    public Result parse(byte[] bytes) {
        List<ServerSentEvent> events = new ArrayList<>(1);
        for (byte next : bytes) {
            if (length >= maxEventBytes) {
                return new Result(events, "an event of more than " + maxEventBytes + " bytes", true);
            }
            append(next);
            String fault = next == '\n' ? endLine(events) : check(next);
            if (!fault.isEmpty()) {
                return new Result(events, fault, false);
            }
        }
        return new Result(events, "", false);
    }

    private void append(byte next) {
        if (length == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(MIN_BUFFER_BYTES, 2 * length));
        }
        buffer[length] = next;
        length++;
    }

    /** Return what is wrong with a byte that ends no line, or an empty string. */
    private String check(byte next) {
        int value = Byte.toUnsignedInt(next);
        if (afterCarriageReturn) {
            return "a carriage return that ends no line";
        }
        if (value == '\r') {
            afterCarriageReturn = true;
            return "";
        }
        if (colon < 0) {
            return checkName(value);
        }
        allAscii &= value < Byte.MAX_VALUE + 1;
        boolean isControl = value < FIRST_PRINTABLE && value != '\t' || value == DELETE;
        return isControl ? "a control character" : "";
    }

    private String checkName(int value) {
        int nameLength = length - 1 - lineStart;
        if (value == ':' && nameLength > 0) {
            colon = length - 1;
            return "";
        }
        boolean isNameCharacter = value >= 'a' && value <= 'z' || nameLength > 0 && value == '-';
        return isNameCharacter && nameLength < MAX_FIELD_NAME_BYTES ? "" : "a line that is no field";
    }

    /** End a line, and at a blank line the event; return what is wrong with it, or an empty string. */
    private String endLine(List<ServerSentEvent> events) {
        int lineLength = length - 1 - lineStart - (afterCarriageReturn ? 1 : 0);
        if (lineLength > 0) {
            return colon < 0 ? "a line that is no field" : endField(lineStart + lineLength);
        }
        if (lineStart == 0) {
            return "a blank line without an event";
        }
        if (!allAscii && !isUtf8()) {
            return "bytes that are not UTF-8";
        }
        events.add(new ServerSentEvent(id, hasData, Arrays.copyOf(buffer, length)));
        reset();
        return "";
    }

    private String endField(int end) {
        String name = new String(buffer, lineStart, colon - lineStart, StandardCharsets.US_ASCII);
        if (STANDARD_FIELDS.contains(name)) {
            hasStandardField = true;
        } else if (hasStandardField) {
            return "an unknown field after those of the standard";
        }
        if (name.equals(ID)) {
            if (hasId) {
                return "two identifiers in one event";
            }
            hasId = true;
            id = new String(buffer, colon + 1, end - colon - 1, StandardCharsets.UTF_8).strip();
        }
        hasData |= name.equals(DATA);
        lineStart = length;
        colon = -1;
        afterCarriageReturn = false;
        return "";
    }

    private boolean isUtf8() {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(buffer, 0, length));
            return true;
        } catch (CharacterCodingException malformed) {
            return false;
        }
    }

    private void reset() {
        if (length > MAX_KEPT_BUFFER_BYTES) {
            buffer = new byte[0];
        }
        length = 0;
        lineStart = 0;
        colon = -1;
        afterCarriageReturn = false;
        allAscii = true;
        id = "";
        hasId = false;
        hasData = false;
        hasStandardField = false;
    }

    /**
     * Return whether the stream has begun an event that is not complete.
     *
     * @return {@code true} if the stream must not end here
     */
    public boolean isWithinEvent() {
        return length > 0;
    }

    /**
     * Return the size of the buffer of the event that is being received.
     *
     * @return the size, in bytes
     */
    public int heldBytes() {
        return buffer.length;
    }
}
