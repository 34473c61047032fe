package org.arbutusstack.entry.router;

import java.util.Set;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostStatus;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.wire.frame.LoadFrame;
import org.arbutusstack.wire.frame.SideReportFrame;
import org.arbutusstack.wire.link.Link;

/** Follows one side: its link, its last report and the requests sent to it. Used by the router's duty only. */
final class SideConnection {

    private Host host;

    private Link link;

    private boolean open;

    private SideReportFrame report;

    private int outstanding;

    private long reconnectAtNanos;

    private long probedAtNanos;

    private boolean listed = true;

    private boolean givenUp;

    SideConnection(Host host) {
        this.host = host;
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

    void connecting(Link opening) {
        link = opening;
        probedAtNanos = opening.heardAtNanos();
        open = false;
        givenUp = false;
        report = null;
    }

    void opened() {
        open = !givenUp;
    }

    void closed(long retryAtNanos) {
        link = null;
        open = false;
        report = null;
        reconnectAtNanos = retryAtNanos;
    }

    /** Tells whether the host list names the host. */
    boolean isListed() {
        return listed;
    }

    void listed(boolean isListed) {
        listed = isListed;
    }

    boolean isGivenUp() {
        return givenUp;
    }

    /** Takes the link out of use before it is closed. */
    void giveUp() {
        givenUp = true;
        open = false;
    }

    long probedAtNanos() {
        return probedAtNanos;
    }

    void probed(long nanos) {
        probedAtNanos = nanos;
    }

    boolean isOpen() {
        return open;
    }

    long reconnectAtNanos() {
        return reconnectAtNanos;
    }

    SideReportFrame report() {
        return report;
    }

    void report(SideReportFrame latest) {
        report = latest;
    }

    void load(LoadFrame latest) {
        if (report != null) {
            report = report.withLoad(latest);
        }
    }

    void sent() {
        outstanding++;
    }

    void ended() {
        outstanding--;
    }

    int outstanding() {
        return outstanding;
    }

    boolean takesWork() {
        return open && listed && report != null && !report.leaving() && host.status() == HostStatus.LIVE;
    }

    RunnerView view() {
        return new RunnerView(
                host.name(),
                host.service(),
                host.zone(),
                Set.copyOf(report.models()),
                Set.copyOf(report.adapters()),
                report.queued() + report.running(),
                outstanding);
    }
}
