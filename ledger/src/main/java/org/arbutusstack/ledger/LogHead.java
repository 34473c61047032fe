package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;

/**
 * The head of the ticket log, stored under a single key of the key-value service.
 *
 * <p>An entry is accepted by the compare-and-swap of the head that names it. The tail reaches back at least to the
 * snapshot. Immutable.
 *
 * @param sequence the sequence of the last entry, zero before the first
 * @param chain the chain digest after that entry, in hexadecimal
 * @param tail the digests of the most recent entries, oldest first
 * @param snapshot the snapshot that replaces the entries before the tail
 */
public record LogHead(long sequence, String chain, List<String> tail, SnapshotReference snapshot) {

    /** The head of an empty log. */
    public static final LogHead EMPTY = new LogHead(0, Digest.ZERO.hex(), List.of(), SnapshotReference.NONE);

    /** Make a defensive copy of the tail; a missing snapshot becomes {@link SnapshotReference#NONE}. */
    public LogHead {
        tail = List.copyOf(tail);
        snapshot = snapshot == null ? SnapshotReference.NONE : snapshot;
    }

    /**
     * Return the sequence of the last entry before the tail.
     *
     * @return the sequence, zero if the tail starts with the first entry
     */
    @JsonIgnore
    public long tailAfterSequence() {
        return sequence - tail.size();
    }

    /**
     * Create the head that follows when an entry is appended.
     *
     * @param entryDigest the entry's digest
     * @return the head whose last entry it is
     */
    public LogHead append(Digest entryDigest) {
        List<String> extended = new ArrayList<>(tail);
        extended.add(entryDigest.hex());
        return new LogHead(sequence + 1, new Digest(chain).chain(entryDigest).hex(), extended, snapshot);
    }

    /**
     * Create the head with a new snapshot and a shortened tail.
     *
     * @param newSnapshot the snapshot, taken at this head's sequence
     * @param retained the number of entries to retain in the tail
     * @return the compacted head
     */
    public LogHead compact(SnapshotReference newSnapshot, int retained) {
        int from = Math.max(0, tail.size() - retained);
        return new LogHead(sequence, chain, tail.subList(from, tail.size()), newSnapshot);
    }

    /**
     * Return the digests of the entries after the snapshot.
     *
     * @return the digests, oldest first
     */
    @JsonIgnore
    public List<String> digestsSinceSnapshot() {
        long skipped = Math.max(0, snapshot.sequence() - tailAfterSequence());
        return tail.subList((int) skipped, tail.size());
    }
}
