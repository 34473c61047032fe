package org.arbutusstack.ledger.peer;

import org.arbutusstack.model.host.Host;
import org.arbutusstack.wire.link.Link;

/** Follows the link that this process opens to one entry. Used by one thread. */
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

    void host(Host changed) {
        host = changed;
    }

    Link link() {
        return link;
    }

    boolean isOpen() {
        return open;
    }

    void dialled(Link opening, long nowNanos) {
        link = opening;
        open = false;
        dialledAtNanos = nowNanos;
    }

    void opened() {
        open = true;
    }

    void closed(long retryNanos) {
        link = null;
        open = false;
        failed = true;
        retryAtNanos = retryNanos;
    }

    void heard() {
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

    void wantedUntil(long untilNanos) {
        wantedUntilNanos = untilNanos;
    }
}
