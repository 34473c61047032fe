package org.arbutusstack.wire.link;

/** Ends of a link. */
enum LinkEnd {
    /** The end that opened the connection. */
    OPENER,
    /** The end that accepted the connection. */
    ACCEPTOR;

    LinkEnd other() {
        return this == OPENER ? ACCEPTOR : OPENER;
    }
}
