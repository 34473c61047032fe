package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Stands in the key-value service under one key and says how far the log reaches.
 *
 * <p>An entry is accepted by the swap of the head that names it. The tail reaches back to the snapshot at the least.
 * Immutable.
 *
 * @param sequence the sequence of the last entry, zero before the first
 * @param chain the chain digest after that entry, in hexadecimal digits
 * @param tail the digests of the last entries in order, the last entry's at the end
 * @param snapshot the snapshot that stands for the entries before the tail
 */
public record LogHead(long sequence, String chain, List<String> tail, SnapshotReference snapshot) {

    /** The head before the first entry. */
    public static final LogHead EMPTY = new LogHead(0, Digest.ZERO.hex(), List.of(), SnapshotReference.NONE);

    /** Copies the tail. */
    public LogHead {
        tail = List.copyOf(tail);
        snapshot = snapshot == null ? SnapshotReference.NONE : snapshot;
    }

    /**
     * Tells the sequence of the entry before the tail.
     *
     * @return the sequence
     */
    @JsonIgnore
    public long tailAfterSequence() {
        return sequence - tail.size();
    }

    /**
     * Appends an entry.
     *
     * @param entryDigest the entry's digest
     * @return the head after it
     */
    public LogHead append(Digest entryDigest) {
        List<String> longer = new ArrayList<>(tail);
        longer.add(entryDigest.hex());
        return new LogHead(sequence + 1, new Digest(chain).chain(entryDigest).hex(), longer, snapshot);
    }

    /**
     * Replaces the snapshot and shortens the tail.
     *
     * @param taken the snapshot, taken at this head's sequence
     * @param kept the number of entries that the tail still names
     * @return the head after it
     */
    public LogHead compact(SnapshotReference taken, int kept) {
        int from = Math.max(0, tail.size() - kept);
        return new LogHead(sequence, chain, tail.subList(from, tail.size()), taken);
    }

    /**
     * Lists the entries after the snapshot.
     *
     * @return their digests in order
     */
    @JsonIgnore
    public List<String> sinceSnapshot() {
        long skipped = Math.max(0, snapshot.sequence() - tailAfterSequence());
        return tail.subList((int) skipped, tail.size());
    }
}
