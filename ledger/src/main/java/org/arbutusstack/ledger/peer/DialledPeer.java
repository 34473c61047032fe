package org.arbutusstack.ledger.peer;

import org.arbutusstack.model.host.Host;
import org.arbutusstack.wire.link.Link;

/** The state of the link that this process dials to one entry. Not thread-safe. */
final class DialledPeer {

    private Host host;

    private Link link;

    private boolean open;

    private boolean failed;

    private long dialledAtNanos;

    private long retryAtNanos;

    private long wantedUntilNanos;

    DialledPeer(Host host, long nowNanos) {
        this.host = host;
        this.retryAtNanos = nowNanos;
    }

    Host host() {
        return host;
    }

    void updateHost(Host changed) {
        host = changed;
    }

    Link link() {
        return link;
    }

    boolean isOpen() {
        return open;
    }

    void markConnecting(Link opening, long nowNanos) {
        link = opening;
        open = false;
        dialledAtNanos = nowNanos;
    }

    void markOpen() {
        open = true;
    }

    void markClosed(long retryNanos) {
        link = null;
        open = false;
        failed = true;
        retryAtNanos = retryNanos;
    }

    void clearFailure() {
        failed = false;
    }

    boolean hasFailed() {
        return failed;
    }

    long dialledAtNanos() {
        return dialledAtNanos;
    }

    long retryAtNanos() {
        return retryAtNanos;
    }

    long wantedUntilNanos() {
        return wantedUntilNanos;
    }

    void setWantedUntil(long untilNanos) {
        wantedUntilNanos = untilNanos;
    }
}
