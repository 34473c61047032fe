package org.arbutusstack.ledger.peer;

import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;

/** An event of a link between entries. */
public sealed interface PeerEvent {

    /**
     * A link was opened.
     *
     * @param name the name of the entry that was dialled, empty for an accepted link
     * @param link the link
     */
    record LinkOpened(String name, Link link) implements PeerEvent {}

    /**
     * A link was closed or could not be opened.
     *
     * @param name the name of the entry that was dialled, empty for an accepted link
     * @param link the link
     */
    record LinkClosed(String name, Link link) implements PeerEvent {}

    /**
     * A frame was received.
     *
     * @param link the link
     * @param frame the frame
     */
    record FrameArrived(Link link, Frame frame) implements PeerEvent {}
}
