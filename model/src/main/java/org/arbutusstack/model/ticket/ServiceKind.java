package org.arbutusstack.model.ticket;

/** Tells what stands behind a service. */
public enum ServiceKind {
    /** Model engines, reached by chat completions. */
    ENGINE,
    /** A plain service, reached below {@code /services/}. */
    PLAIN
}
