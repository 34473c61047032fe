package org.arbutusstack.ledger.peer;

import org.arbutusstack.wire.link.Link;

/** What is known of the ticket log of one peer. Not thread-safe. */
final class LogPeer {

    private final Link link;

    private long sequence;

    private boolean confirmed;

    private boolean diverged;

    private long avoidedUntilNanos = Long.MIN_VALUE;

    LogPeer(Link link) {
        this.link = link;
    }

    Link link() {
        return link;
    }

    long sequence() {
        return sequence;
    }

    /** Return the sequence up to which the peer has the same log as this process, zero if that is not known. */
    long confirmedSequence() {
        return confirmed ? sequence : 0;
    }

    void recordHeartbeat(long reportedSequence, boolean chainMatches) {
        sequence = reportedSequence;
        confirmed = chainMatches;
    }

    boolean isDiverged() {
        return diverged;
    }

    void markDiverged() {
        diverged = true;
    }

    void clearDiverged() {
        diverged = false;
    }

    void avoidUntil(long untilNanos) {
        avoidedUntilNanos = untilNanos;
    }

    boolean isAvoided(long nowNanos) {
        return avoidedUntilNanos != Long.MIN_VALUE && nowNanos - avoidedUntilNanos < 0;
    }
}
