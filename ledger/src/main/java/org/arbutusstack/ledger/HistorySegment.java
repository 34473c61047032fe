package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * Lists the entries that one compaction took out of the head, and names the segment before it.
 *
 * <p>Followed from the head backwards, the segments name every entry that was ever accepted.
 *
 * @param afterSequence the sequence of the entry before the first one
 * @param entries the digests of the entries in order
 * @param previous the digest of the segment before, all zeros for none
 */
public record HistorySegment(long afterSequence, List<String> entries, String previous) {

    /** Copies the digests. */
    public HistorySegment {
        entries = List.copyOf(entries);
    }

    /**
     * Computes the digest that names the segment.
     *
     * @return the digest
     */
    @JsonIgnore
    public Digest digest() {
        return Digest.of(JsonCodec.write(this));
    }
}
