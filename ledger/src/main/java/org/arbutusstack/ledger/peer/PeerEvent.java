package org.arbutusstack.ledger.peer;

import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;

/** Is one thing that happened on a link between entries. */
public sealed interface PeerEvent {

    /**
     * A link stands.
     *
     * @param name the name of the entry that was dialled, empty if the link was taken
     * @param link the link
     */
    record LinkOpened(String name, Link link) implements PeerEvent {}

    /**
     * A link is gone or could not be opened.
     *
     * @param name the name of the entry that was dialled, empty if the link was taken
     * @param link the link
     */
    record LinkClosed(String name, Link link) implements PeerEvent {}

    /**
     * A frame arrived.
     *
     * @param link the link
     * @param frame the frame
     */
    record FrameArrived(Link link, Frame frame) implements PeerEvent {}
}
