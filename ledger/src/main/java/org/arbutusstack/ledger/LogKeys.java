package org.arbutusstack.ledger;

import org.arbutusstack.kernel.digest.Digest;

/** The keys under which the ticket log is stored in the key-value service. */
public final class LogKeys {

    /** The key of the {@linkplain LogHead head}. */
    public static final String HEAD = "/arbutus/log/head";

    private static final String ENTRIES = "/arbutus/log/entries/";

    private static final String SNAPSHOTS = "/arbutus/log/snapshots/";

    private static final String HISTORY = "/arbutus/log/history/";

    private static final String NUMBERS = "/arbutus/log/numbers/";

    private LogKeys() {}

    /**
     * Return the key of an entry.
     *
     * @param entryDigest the entry's digest
     * @return the key
     */
    public static String entry(Digest entryDigest) {
        return ENTRIES + entryDigest.hex();
    }

    /**
     * Return the key of a part of a snapshot. It contains the sequence: no two snapshots share a part, so that a part
     * can be deleted safely.
     *
     * @param sequence the log sequence of the snapshot
     * @param partDigest the digest of the part, in hexadecimal
     * @return the key
     */
    public static String snapshotPart(long sequence, String partDigest) {
        return SNAPSHOTS + sequence + "/" + partDigest;
    }

    /**
     * Return the key of a segment of the history.
     *
     * @param segmentDigest the digest of the segment, in hexadecimal
     * @return the key
     */
    public static String history(String segmentDigest) {
        return HISTORY + segmentDigest;
    }

    /**
     * Return the key of a number page.
     *
     * @param page the number of the page
     * @return the key
     */
    public static String numberPage(long page) {
        return NUMBERS + page;
    }
}
