package org.arbutusstack.gateway.request;

import java.nio.charset.StandardCharsets;

/**
 * Number of the events that were relayed to the caller of a request, over all attempts, and the identifier of the last
 * one. Confined to the entry's event loop.
 */
final class RelayedEvents {

    private static final String ID_FIELD = "id:";

    private String lastId = "";

    private long count;

    /** Record complete events that are relayed. */
    void record(byte[] bytes) {
        int end = bytes.length;
        int idStart = -1;
        for (int start = 0; start < end; start = endOfLine(bytes, start, end) + 1) {
            if (isIdField(bytes, start, end)) {
                idStart = start + ID_FIELD.length();
                count++;
            }
        }
        if (idStart >= 0) {
            int idEnd = endOfLine(bytes, idStart, end);
            lastId = new String(bytes, idStart, idEnd - idStart, StandardCharsets.UTF_8).strip();
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

    /** Return the identifier of the last event; empty if no event with one was relayed. */
    String lastId() {
        return lastId;
    }

    long count() {
        return count;
    }
}
