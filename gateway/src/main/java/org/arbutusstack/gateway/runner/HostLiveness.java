package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.StatusRequestFrame;
import org.arbutusstack.wire.link.Link;

/**
 * Follows the signs of life of a runner's host: statuses of the process beside the runner, answers to questions, and
 * bytes of the runner. Used by the entry's loop only.
 *
 * <p>A host that freezes keeps its connections: what is sent to it lies in its buffers and runs after the thaw, when
 * the callers have left. So a request is sent only right after a sign, and the side is asked for one where none has
 * come.
 */
final class HostLiveness {

    /** The pauses between statuses after which a host is silent. */
    private static final int MOST_PAUSES = 3;

    /** How old a status may be when a request is sent on it: a few round trips, in which little else was sent. */
    private static final long FRESH_MILLIS = 60;

    /** When another runner is taken instead of one that was asked: several round trips between availability zones. */
    private static final long ANSWER_MILLIS = 120;

    /** When a host that was asked and sends nothing is taken to be silent: a packet may be lost and sent again. */
    private static final long SILENCE_MILLIS = 400;

    private final Clock clock;

    private Link link;

    private boolean linkOpen;

    private boolean givenUp;

    private long heardAtNanos;

    private long statusAtNanos;

    private long pauseMillis;

    private boolean asked;

    private long askedAtNanos;

    private int sentSinceHeard;

    HostLiveness(Clock clock) {
        this.clock = clock;
    }

    /** Takes a status; the next one comes within the pause if the host lives. */
    void status(Link from, long nextWithinMillis) {
        link = from;
        linkOpen = true;
        givenUp = false;
        pauseMillis = nextWithinMillis;
        statusAtNanos = clock.nowNanos();
        recordLiveness();
    }

    /** Notes any sign. */
    void recordLiveness() {
        heardAtNanos = clock.nowNanos();
        sentSinceHeard = 0;
        asked = false;
    }

    void sent() {
        sentSinceHeard++;
    }

    /** Learns that the process beside the runner ended, while its host goes on. */
    void sideClosed() {
        linkOpen = false;
        givenUp = false;
    }

    /** Learns that the link was given up for its silence. */
    void sideTimedOut() {
        linkOpen = false;
        givenUp = true;
    }

    Link link() {
        return link;
    }

    boolean send(Frame frame) {
        return link != null && link.send(frame);
    }

    /** Asks for a status, unless the side was asked and may still answer. */
    void requestStatus() {
        boolean underWay = asked && !isStatusOverdue();
        if (underWay || !send(new StatusRequestFrame())) {
            return;
        }
        if (!asked) {
            askedAtNanos = clock.nowNanos();
        }
        asked = true;
    }

    boolean isStatusOverdue() {
        return linkOpen && asked && isPast(askedAtNanos, ANSWER_MILLIS);
    }

    boolean needsLivenessCheck() {
        return linkOpen && (sentSinceHeard > 0 || isPast(statusAtNanos, FRESH_MILLIS));
    }

    boolean isSilent() {
        if (!linkOpen) {
            return givenUp;
        }
        boolean noAnswer = asked && isPast(askedAtNanos, SILENCE_MILLIS);
        return noAnswer || isPast(heardAtNanos, Math.max(SILENCE_MILLIS, MOST_PAUSES * pauseMillis));
    }

    private boolean isPast(long sinceNanos, long millis) {
        return clock.isPast(sinceNanos + millis * Clock.NANOS_PER_MILLI);
    }
}
