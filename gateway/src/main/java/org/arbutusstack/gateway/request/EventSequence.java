package org.arbutusstack.gateway.request;

import java.util.regex.Pattern;
import org.arbutusstack.http.event.ServerSentEvent;

/**
 * Sequence of the events that the caller of a request has, over all attempts. Accepts only events that continue it, so
 * that nothing but a runner's events, each of them once and in order, reaches the caller. Confined to the entry's event
 * loop.
 */
final class EventSequence {

    private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

    private static final long NO_EVENT = -1;

    private long lastNumber;

    private String lastId = "";

    private long count;

    /**
     * Create the sequence of a request.
     *
     * @param resumedId the identifier of the last event that the caller has from an earlier request; empty if none
     */
    EventSequence(String resumedId) {
        this.lastNumber = NUMBER.matcher(resumedId).matches() ? Long.parseLong(resumedId) : NO_EVENT;
    }

    /** Add an event, or return why it does not continue the sequence; empty if it was added. */
    String add(ServerSentEvent event) {
        if (!NUMBER.matcher(event.id()).matches()) {
            return "an event without a number";
        }
        if (!event.hasData()) {
            return "an event without data";
        }
        long number = Long.parseLong(event.id());
        if (number <= lastNumber) {
            return "event " + number + " after event " + lastNumber;
        }
        lastNumber = number;
        lastId = event.id();
        count++;
        return "";
    }

    /** Return the identifier of the last event of this request; empty if there is none. */
    String lastId() {
        return lastId;
    }

    /** Return the number of events of this request. */
    long count() {
        return count;
    }
}
