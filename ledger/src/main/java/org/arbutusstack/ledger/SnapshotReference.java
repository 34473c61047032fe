package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Names a snapshot in the key-value service.
 *
 * @param sequence the log sequence of the snapshot, zero for none
 * @param digest the digest of the whole snapshot, in hexadecimal digits
 * @param parts the digests of its parts in order
 * @param history the digest of the last segment of the log's history
 */
public record SnapshotReference(long sequence, String digest, List<String> parts, String history) {

    /** Names no snapshot: the log starts empty. */
    public static final SnapshotReference NONE =
            new SnapshotReference(0, Digest.ZERO.hex(), List.of(), Digest.ZERO.hex());

    /** Copies the parts. */
    public SnapshotReference {
        parts = List.copyOf(parts);
    }

    /**
     * Lists the keys of the parts.
     *
     * @return the keys in order
     */
    @JsonIgnore
    public List<String> keys() {
        return parts.stream().map(part -> LogKeys.snapshotPart(sequence, part)).toList();
    }
}
