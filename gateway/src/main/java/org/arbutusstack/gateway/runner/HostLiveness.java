package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.StatusRequestFrame;
import org.arbutusstack.wire.link.Link;

/**
 * Tracker of the liveness signals of a runner's host: statuses of the side, replies to status requests, and bytes
 * received from the runner. Confined to the entry's event loop.
 *
 * <p>A frozen host keeps its connections open: requests sent to it stay in its buffers and run once it resumes, when
 * their callers have left. Therefore a request is sent only right after a liveness signal; if there was none recently,
 * the side is sent a status request first.
 */
final class HostLiveness {

    /** Status intervals without any signal after which a host counts as unresponsive. */
    private static final int MAX_MISSED_INTERVALS = 3;

    /** Maximum age of a status for sending a request; a few round trips, in which little else was sent. */
    private static final long MAX_STATUS_AGE_MILLIS = 60;

    /** Time after which an unanswered status request is overdue; several round trips between availability zones. */
    private static final long OVERDUE_MILLIS = 120;

    /** Time without a reply after which a host is unresponsive; leaves room for one retransmitted packet. */
    private static final long UNRESPONSIVE_MILLIS = 400;

    private final Clock clock;

    private Link link;

    private boolean linkOpen;

    private boolean timedOut;

    private long signalAtNanos;

    private long statusAtNanos;

    private long statusIntervalMillis;

    private boolean statusRequested;

    private long requestedAtNanos;

    private int sentSinceSignal;

    private final FadingAverage replies;

    HostLiveness(Clock clock) {
        this.clock = clock;
        this.replies = new FadingAverage(clock);
    }

    /**
     * Record a status.
     *
     * @param from the link that delivered the status
     * @param nextWithinMillis the longest time until the next status if the host is alive, in milliseconds
     */
    void recordStatus(Link from, long nextWithinMillis) {
        if (statusRequested && linkOpen) {
            replies.add(pendingMillis());
        }
        link = from;
        linkOpen = true;
        timedOut = false;
        statusIntervalMillis = nextWithinMillis;
        statusAtNanos = clock.nowNanos();
        recordLiveness();
    }

    /** Record any liveness signal. */
    void recordLiveness() {
        signalAtNanos = clock.nowNanos();
        sentSinceSignal = 0;
        statusRequested = false;
    }

    /** Record a request sent to the runner. */
    void recordSent() {
        sentSinceSignal++;
    }

    /** Record that the side has closed its link while its host is still running. */
    void sideClosed() {
        // The time without a link is no time of an answer.
        statusRequested = false;
        linkOpen = false;
        timedOut = false;
    }

    /** Record that the link was closed since the side stopped responding. */
    void sideTimedOut() {
        statusRequested = false;
        linkOpen = false;
        timedOut = true;
    }

    Link link() {
        return link;
    }

    boolean send(Frame frame) {
        return link != null && link.send(frame);
    }

    /** Send a status request, unless one is pending and not overdue. */
    void requestStatus() {
        boolean pending = statusRequested && !isStatusOverdue();
        if (pending || !send(new StatusRequestFrame())) {
            return;
        }
        if (!statusRequested) {
            requestedAtNanos = clock.nowNanos();
        }
        statusRequested = true;
    }

    /**
     * Return the usual time from a status request to the status, in milliseconds, or the time for which the pending
     * request has not been answered if that is longer. Zero if no request was answered recently.
     */
    double replyMillis() {
        boolean pending = linkOpen && statusRequested;
        return Math.max(replies.millis(), pending ? pendingMillis() : 0);
    }

    private double pendingMillis() {
        return (clock.nowNanos() - requestedAtNanos) / (double) Clock.NANOS_PER_MILLI;
    }

    /** Return whether the side has not answered a status request in time. */
    boolean isStatusOverdue() {
        return linkOpen && statusRequested && isPast(requestedAtNanos, OVERDUE_MILLIS);
    }

    /** Return whether the status is outdated or a request was sent since the last liveness signal. */
    boolean needsLivenessCheck() {
        return linkOpen && (sentSinceSignal > 0 || isPast(statusAtNanos, MAX_STATUS_AGE_MILLIS));
    }

    /** Return whether the host sends neither the next status nor a reply in time. */
    boolean isUnresponsive() {
        if (!linkOpen) {
            return timedOut;
        }
        boolean noReply = statusRequested && isPast(requestedAtNanos, UNRESPONSIVE_MILLIS);
        return noReply
                || isPast(signalAtNanos, Math.max(UNRESPONSIVE_MILLIS, MAX_MISSED_INTERVALS * statusIntervalMillis));
    }

    private boolean isPast(long sinceNanos, long millis) {
        return clock.isPast(sinceNanos + millis * Clock.NANOS_PER_MILLI);
    }
}
