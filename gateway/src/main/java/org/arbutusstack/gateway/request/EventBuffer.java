package org.arbutusstack.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Buffer that splits a byte stream into complete events and records the identifier of the last one. Confined to the
 * entry's event loop.
 */
final class EventBuffer {

    private static final String ID_FIELD = "id:";

    private static final int MAX_EVENT_BYTES = 1_048_576;

    private byte[] partialEvent = new byte[0];

    private String lastEventId = "";

    private long eventCount;

    /**
     * Append bytes and return the complete events.
     *
     * @param bytes the received bytes
     * @return the events that the bytes complete; empty if there are none
     */
    byte[] append(byte[] bytes) {
        byte[] joined = partialEvent.length == 0 ? bytes : join(bytes);
        int end = endOfLastEvent(joined);
        if (end == 0) {
            partialEvent = joined;
            return new byte[0];
        }
        recordEvents(joined, end);
        partialEvent = Arrays.copyOfRange(joined, end, joined.length);
        return end == joined.length ? joined : Arrays.copyOf(joined, end);
    }

    private byte[] join(byte[] bytes) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(partialEvent.length + bytes.length);
        joined.writeBytes(partialEvent);
        joined.writeBytes(bytes);
        return joined.toByteArray();
    }

    /** Return the index after the last blank line, which ends an event, or zero if there is none. */
    private static int endOfLastEvent(byte[] bytes) {
        for (int index = bytes.length - 1; index > 0; index--) {
            boolean blank = bytes[index] == '\n'
                    && (bytes[index - 1] == '\n' || bytes[index - 1] == '\r' && index > 1 && bytes[index - 2] == '\n');
            if (blank) {
                return index + 1;
            }
        }
        return 0;
    }

    private void recordEvents(byte[] bytes, int end) {
        int idStart = -1;
        for (int start = 0; start < end; start = endOfLine(bytes, start, end) + 1) {
            if (isIdField(bytes, start, end)) {
                idStart = start + ID_FIELD.length();
                eventCount++;
            }
        }
        if (idStart >= 0) {
            int idEnd = endOfLine(bytes, idStart, end);
            lastEventId = new String(bytes, idStart, idEnd - idStart, StandardCharsets.UTF_8).strip();
        }
    }

    private static int endOfLine(byte[] bytes, int start, int end) {
        int index = start;
        while (index < end && bytes[index] != '\n') {
            index++;
        }
        return index;
    }

    private static boolean isIdField(byte[] bytes, int start, int end) {
        if (start + ID_FIELD.length() > end) {
            return false;
        }
        for (int index = 0; index < ID_FIELD.length(); index++) {
            if (bytes[start + index] != ID_FIELD.charAt(index)) {
                return false;
            }
        }
        return true;
    }

    /** Discard an event that its runner did not complete. */
    void discardPartialEvent() {
        partialEvent = new byte[0];
    }

    byte[] partialEvent() {
        return partialEvent;
    }

    boolean isTooLarge() {
        return partialEvent.length > MAX_EVENT_BYTES;
    }

    String lastEventId() {
        return lastEventId;
    }

    long eventCount() {
        return eventCount;
    }
}
