package org.arbutusstack.side;

import java.util.Locale;

/** Kinds of orders to an engine. */
enum OrderKind {
    /** Loads a model. */
    LOAD,
    /** Unloads a model. */
    UNLOAD,
    /** Loads an adapter. */
    LOAD_ADAPTER,
    /** Unloads an adapter. */
    UNLOAD_ADAPTER,
    /** Confirms the engine's role and raises its fencing token; takes no memory. */
    ROLE;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    boolean isLoad() {
        return this == LOAD || this == LOAD_ADAPTER;
    }

    boolean isUnload() {
        return this == UNLOAD || this == UNLOAD_ADAPTER;
    }
}
