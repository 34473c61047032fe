package org.arbutusstack.gateway.pressure;

import java.util.Locale;

/** What an entry holds bytes for, and whether a single one can be ended to free its memory. */
public enum HoldingKind {
    /** The body of a request that is being read; the request has not run, so its end is a refusal. */
    UPLOAD(true),
    /** The bodies of requests that were read; a runner may be running them, so ending them could lose their work. */
    BODY(false),
    /** An answer that is held until it can be relayed. */
    ANSWER(true),
    /** A part of an answer that was written to a caller's connection and that the caller has not read. */
    UNREAD(true);

    private final boolean endable;

    HoldingKind(boolean endable) {
        this.endable = endable;
    }

    /**
     * Return whether a holding of this kind may be ended to free its memory.
     *
     * @return {@code true} if it may be ended
     */
    public boolean isEndable() {
        return endable;
    }

    /**
     * Return the name for logs and metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
