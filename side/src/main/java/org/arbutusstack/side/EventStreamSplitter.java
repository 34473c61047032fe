package org.arbutusstack.side;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Splitter of a server-sent event stream into complete events. Stateless. */
final class EventStreamSplitter {

    private static final byte[] LAST_EVENT = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

    private EventStreamSplitter() {}

    static Events split(byte[] bytes) {
        int count = 0;
        int end = 0;
        int lastStart = 0;
        for (int index = 1; index < bytes.length; index++) {
            if (bytes[index] == '\n' && bytes[index - 1] == '\n' && index - 1 >= end) {
                lastStart = end;
                end = index + 1;
                count++;
            }
        }
        boolean last = count > 0 && isLastEventAt(bytes, lastStart);
        return new Events(count, Arrays.copyOf(bytes, end), Arrays.copyOfRange(bytes, end, bytes.length), last);
    }

    private static boolean isLastEventAt(byte[] bytes, int from) {
        int to = from + LAST_EVENT.length;
        return to <= bytes.length && Arrays.equals(bytes, from, to, LAST_EVENT, 0, LAST_EVENT.length);
    }

    /** Complete events, the bytes of the incomplete rest, and whether the last complete event ends the stream. */
    record Events(int count, byte[] whole, byte[] rest, boolean isLast) {}
}
