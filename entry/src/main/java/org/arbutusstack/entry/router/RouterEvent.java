package org.arbutusstack.entry.router;

import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;

/** Is one message to the router's duty. */
sealed interface RouterEvent {

    /** A caller sent a request. */
    record Arrived(CallerRequest request) implements RouterEvent {}

    /** A caller closed its connection. */
    record CallerGone(RequestId id) implements RouterEvent {}

    /** A link to a host stands. */
    record LinkOpened(Host host, Link link) implements RouterEvent {}

    /** A link to a host is gone or could not be opened. */
    record LinkClosed(Host host, Link link) implements RouterEvent {}

    /** A frame arrived from a host. */
    record FrameArrived(Host host, Link link, Frame frame) implements RouterEvent {}

    /** The host list changed. */
    record HostsChanged() implements RouterEvent {}

    /** The ticket log of this process advanced. */
    record StateAdvanced() implements RouterEvent {}

    /** Time has passed. */
    record Tick() implements RouterEvent {}
}
