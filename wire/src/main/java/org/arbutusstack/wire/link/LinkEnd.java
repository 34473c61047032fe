package org.arbutusstack.wire.link;

/** Tells the two ends of a link apart. */
enum LinkEnd {
    /** The end that opened the connection. */
    OPENER,
    /** The end that took the connection. */
    ACCEPTOR;

    LinkEnd other() {
        return this == OPENER ? ACCEPTOR : OPENER;
    }
}
