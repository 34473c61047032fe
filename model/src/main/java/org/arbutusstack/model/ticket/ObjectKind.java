package org.arbutusstack.model.ticket;

/** The kinds of objects that a ticket can touch. */
public enum ObjectKind {
    /** A service: a group of backend servers that callers address by its name. */
    SERVICE,
    /** A model with its version. */
    MODEL,
    /** An adapter of a model, with its version. */
    ADAPTER
}
