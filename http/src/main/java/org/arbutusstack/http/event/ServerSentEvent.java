package org.arbutusstack.http.event;

import java.io.ByteArrayOutputStream;
import java.util.List;

/**
 * Complete event of a stream.
 *
 * @param id the value of its identifier field; empty if it has none
 * @param hasData whether it has a data field
 * @param bytes the bytes of the event with the blank line that ends it; not copied
 */
public record ServerSentEvent(String id, boolean hasData, byte[] bytes) {

    /**
     * Return the bytes of several events in order.
     *
     * @param events the events
     * @return their bytes; empty if there are no events
     */
    public static byte[] join(List<ServerSentEvent> events) {
        if (events.size() == 1) {
            return events.get(0).bytes();
        }
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        events.forEach(event -> joined.writeBytes(event.bytes()));
        return joined.toByteArray();
    }
}
