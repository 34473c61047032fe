package org.arbutusstack.entry.router;

import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;

/** An event processed by the router's event loop. */
sealed interface RouterEvent {

    /** A caller has sent a request. */
    record Arrived(CallerRequest request) implements RouterEvent {}

    /** A caller has closed its connection. */
    record CallerGone(RequestId id) implements RouterEvent {}

    /** A link to a host has been opened. */
    record LinkOpened(Host host, Link link) implements RouterEvent {}

    /** A link to a host has been closed or could not be opened. */
    record LinkClosed(Host host, Link link) implements RouterEvent {}

    /** A frame has been received from a host. */
    record FrameArrived(Host host, Link link, Frame frame) implements RouterEvent {}

    /** The host list has changed. */
    record HostsChanged() implements RouterEvent {}

    /** The local replica of the ticket log has advanced. */
    record StateAdvanced() implements RouterEvent {}

    /** The tick period has elapsed. */
    record Tick() implements RouterEvent {}
}
