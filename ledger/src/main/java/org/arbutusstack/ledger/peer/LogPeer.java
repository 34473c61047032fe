package org.arbutusstack.ledger.peer;

import org.arbutusstack.wire.link.Link;

/** Remembers how far the log of one peer reaches. Used by one thread. */
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

    /** Tells the sequence up to which the peer's log is the same as this process's. */
    long confirmedSequence() {
        return confirmed ? sequence : 0;
    }

    void told(long toldSequence, boolean isSame) {
        sequence = toldSequence;
        confirmed = isSame;
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
