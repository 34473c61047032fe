package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * How long the streams of this entry at a runner have had no event.
 *
 * <p>An engine makes the next tokens of all its streams in the same step. As long as it reads prompts or is slow for a
 * moment, none of them gets an event, which the entry sees before any report says so. Confined to the entry's event
 * loop.
 */
final class StreamPauses {

    private final Clock clock;

    private int streams;

    private long lastEventNanos;

    StreamPauses(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    void streamBegan() {
        streams++;
        lastEventNanos = clock.nowNanos();
    }

    void eventReceived() {
        lastEventNanos = clock.nowNanos();
    }

    void streamEnded() {
        streams--;
    }

    /** Return the time since the last event of any stream, in milliseconds; zero if none is running. */
    long pauseMillis() {
        return streams > 0 ? clock.millisSince(lastEventNanos) : 0;
    }
}
