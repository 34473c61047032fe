package org.arbutusstack.ledger;

import org.arbutusstack.kernel.digest.Digest;

/** Names the keys of the ticket log in the key-value service. */
public final class LogKeys {

    /** The key of the head. */
    public static final String HEAD = "/arbutus/log/head";

    private static final String ENTRIES = "/arbutus/log/entries/";

    private LogKeys() {}

    /**
     * Names the key of an entry.
     *
     * @param entryDigest the entry's digest
     * @return the key
     */
    public static String entry(Digest entryDigest) {
        return ENTRIES + entryDigest.hex();
    }
}
