package org.arbutusstack.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/**
 * Buffer that splits the event stream of one attempt into complete events. An event that the runner of the attempt has
 * begun ends with the attempt and never meets the bytes of another run. Confined to the entry's event loop.
 */
final class EventBuffer {

    private static final int MAX_EVENT_BYTES = 1_048_576;

    private byte[] partialEvent = new byte[0];

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

    /** Return the bytes of the event that the runner has begun; empty if the last event is complete. */
    byte[] partialEvent() {
        return partialEvent;
    }

    boolean isTooLarge() {
        return partialEvent.length > MAX_EVENT_BYTES;
    }
}
