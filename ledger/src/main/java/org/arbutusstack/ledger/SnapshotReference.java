package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Refers to a snapshot that is stored in parts in the key-value service.
 *
 * @param sequence the log sequence of the snapshot, zero if there is none
 * @param digest the digest of the whole snapshot, in hexadecimal
 * @param parts the digests of its parts in order
 * @param history the digest of the last segment of the log's history
 */
public record SnapshotReference(long sequence, String digest, List<String> parts, String history) {

    /** The reference of a log without a snapshot, which starts empty. */
    public static final SnapshotReference NONE =
            new SnapshotReference(0, Digest.ZERO.hex(), List.of(), Digest.ZERO.hex());

    /** Make a defensive copy of the digests of the parts. */
    public SnapshotReference {
        parts = List.copyOf(parts);
    }

    /**
     * Return the keys of the parts in the key-value service.
     *
     * @return the keys in order
     */
    @JsonIgnore
    public List<String> keys() {
        return parts.stream().map(part -> LogKeys.snapshotPart(sequence, part)).toList();
    }
}
