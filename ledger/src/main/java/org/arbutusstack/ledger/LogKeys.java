package org.arbutusstack.ledger;

import org.arbutusstack.kernel.digest.Digest;

/** Names the keys of the ticket log in the key-value service. */
public final class LogKeys {

    /** The key of the head. */
    public static final String HEAD = "/arbutus/log/head";

    private static final String ENTRIES = "/arbutus/log/entries/";

    private static final String SNAPSHOTS = "/arbutus/log/snapshots/";

    private static final String HISTORY = "/arbutus/log/history/";

    private static final String NUMBERS = "/arbutus/log/numbers/";

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

    /**
     * Names the key of a part of a snapshot; no two snapshots share one, so that a part can be deleted for good.
     *
     * @param sequence the log sequence of the snapshot
     * @param partDigest the digest of the part, in hexadecimal digits
     * @return the key
     */
    public static String snapshotPart(long sequence, String partDigest) {
        return SNAPSHOTS + sequence + "/" + partDigest;
    }

    /**
     * Names the key of a segment of the log's history.
     *
     * @param segmentDigest the segment's digest, in hexadecimal digits
     * @return the key
     */
    public static String history(String segmentDigest) {
        return HISTORY + segmentDigest;
    }

    /**
     * Names the key of a page of ticket numbers.
     *
     * @param page the page
     * @return the key
     */
    public static String numberPage(long page) {
        return NUMBERS + page;
    }
}
