package org.arbutusstack.model.ticket;

/** Tells the kinds of object that a ticket can touch. */
public enum ObjectKind {
    /** A service: a group of backend servers that callers name. */
    SERVICE,
    /** A model with its version. */
    MODEL,
    /** An adapter of a model, with its version. */
    ADAPTER
}
