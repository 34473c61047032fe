package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Stands in the key-value service under one key and says how far the log reaches.
 *
 * <p>An entry is accepted by the swap of the head that names it. Immutable.
 *
 * @param sequence the sequence of the last entry, zero before the first
 * @param chain the chain digest after that entry, in hexadecimal digits
 * @param tail the digests of the last entries in order, the last entry's at the end
 */
public record LogHead(long sequence, String chain, List<String> tail) {

    /** The head before the first entry. */
    public static final LogHead EMPTY = new LogHead(0, Digest.ZERO.hex(), List.of());

    /** Copies the tail. */
    public LogHead {
        tail = List.copyOf(tail);
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
        return new LogHead(sequence + 1, new Digest(chain).chain(entryDigest).hex(), longer);
    }

    /**
     * Finds an entry in the tail.
     *
     * @param entryDigest the entry's digest
     * @return its sequence, zero if the tail does not hold it
     */
    public long sequenceOf(Digest entryDigest) {
        int index = tail.indexOf(entryDigest.hex());
        return index < 0 ? 0 : tailAfterSequence() + index + 1;
    }
}
