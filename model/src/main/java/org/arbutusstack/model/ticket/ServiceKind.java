package org.arbutusstack.model.ticket;

/** The kinds of service, by what serves the calls. */
public enum ServiceKind {
    /** Model engines, called by the chat completions API. */
    ENGINE,
    /** A plain service, called by paths below {@code /services/}. */
    PLAIN
}
