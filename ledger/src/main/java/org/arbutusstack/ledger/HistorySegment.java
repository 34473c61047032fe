package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * The digests of the entries that one compaction moved into a snapshot, linked to the previous segment.
 *
 * <p>Followed backwards from the head, the segments name every accepted entry up to the snapshot.
 *
 * @param afterSequence the sequence before that of the first entry
 * @param entries the digests of the entries in order
 * @param previous the digest of the previous segment, all zeros if there is none
 */
public record HistorySegment(long afterSequence, List<String> entries, String previous) {

    /** Make a defensive copy of the digests. */
    public HistorySegment {
        entries = List.copyOf(entries);
    }

    /**
     * Compute the digest by which the segment is stored and referred to.
     *
     * @return the digest of the JSON
     */
    @JsonIgnore
    public Digest digest() {
        return Digest.of(JsonCodec.write(this));
    }
}
