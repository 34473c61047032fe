package org.arbutusstack.entry.router;

import java.util.Set;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostStatus;
import org.arbutusstack.routing.RunnerLoad;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.wire.frame.LoadFrame;
import org.arbutusstack.wire.frame.SideReportFrame;
import org.arbutusstack.wire.link.Link;

/**
 * Connection to one side: its link, its last report and the load of its runner. Not thread-safe: confined to the
 * router's event loop.
 */
final class SideConnection {

    private Host host;

    private Link link;

    private String incarnation = "";

    private boolean open;

    private SideReportFrame report;

    private final RunnerLoad load;

    private Set<String> models = Set.of();

    private Set<String> adapters = Set.of();

    private int otherRequests;

    private long reconnectAtNanos;

    private boolean listed = true;

    private boolean givenUp;

    SideConnection(Host host, long nowNanos) {
        this.host = host;
        this.load = new RunnerLoad(nowNanos);
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
        incarnation = "";
        open = false;
        givenUp = false;
        report = null;
    }

    void opened() {
        open = !givenUp;
    }

    void closed(long retryAtNanos) {
        link = null;
        incarnation = "";
        open = false;
        report = null;
        reconnectAtNanos = retryAtNanos;
    }

    /** Return whether the host list contains this host. */
    boolean isListed() {
        return listed;
    }

    void listed(boolean isListed) {
        listed = isListed;
    }

    boolean isGivenUp() {
        return givenUp;
    }

    /** Stop using the link before it is closed. */
    void giveUp() {
        givenUp = true;
        open = false;
    }

    void identified(String announced) {
        incarnation = announced;
    }

    /** Return the incarnation of the connected process; empty before its {@code HelloFrame} has been received. */
    String incarnation() {
        return incarnation;
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
        models = Set.copyOf(latest.models());
        adapters = Set.copyOf(latest.adapters());
        updateLoad();
    }

    void load(LoadFrame latest) {
        if (report != null) {
            report = report.withLoad(latest);
            updateLoad();
        }
    }

    private void updateLoad() {
        load.reported(report.queued(), report.running());
        otherRequests = Math.max(0, report.queued() + report.running() - outstanding());
    }

    RunnerLoad load() {
        return load;
    }

    int outstanding() {
        return load.outstanding();
    }

    boolean takesWork() {
        return open && listed && report != null && !report.leaving() && host.status() == HostStatus.LIVE;
    }

    RunnerView view() {
        return new RunnerView(
                host.name(),
                host.service(),
                host.zone(),
                models,
                adapters,
                otherRequests + outstanding(),
                outstanding());
    }
}
