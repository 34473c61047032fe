package org.arbutusstack.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a stream of events into whole events and remembers the last one's identifier. Used by the entry's loop only.
 */
final class EventBuffer {

    private static final String ID_FIELD = "id:";

    private static final int LONGEST_EVENT_BYTES = 1_048_576;

    private byte[] rest = new byte[0];

    private String lastEventId = "";

    private long events;

    /**
     * Adds bytes and takes the whole events that they complete.
     *
     * @param bytes the bytes
     * @return the whole events; empty if none is complete
     */
    byte[] take(byte[] bytes) {
        byte[] joined = rest.length == 0 ? bytes : join(bytes);
        int end = endOfLastEvent(joined);
        if (end == 0) {
            rest = joined;
            return new byte[0];
        }
        noteEvents(joined, end);
        rest = Arrays.copyOfRange(joined, end, joined.length);
        return end == joined.length ? joined : Arrays.copyOf(joined, end);
    }

    private byte[] join(byte[] bytes) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(rest.length + bytes.length);
        joined.writeBytes(rest);
        joined.writeBytes(bytes);
        return joined.toByteArray();
    }

    /** Finds the end of the last blank line, which ends an event. */
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

    private void noteEvents(byte[] bytes, int end) {
        int idStart = -1;
        for (int start = 0; start < end; start = endOfLine(bytes, start, end) + 1) {
            if (isIdField(bytes, start, end)) {
                idStart = start + ID_FIELD.length();
                events++;
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

    /** Drops a part of an event that its runner did not end. */
    void dropRest() {
        rest = new byte[0];
    }

    byte[] rest() {
        return rest;
    }

    boolean isTooLong() {
        return rest.length > LONGEST_EVENT_BYTES;
    }

    String lastEventId() {
        return lastEventId;
    }

    long events() {
        return events;
    }
}
