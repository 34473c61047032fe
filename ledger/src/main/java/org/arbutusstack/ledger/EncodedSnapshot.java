package org.arbutusstack.ledger;

import java.util.Arrays;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * A snapshot encoded as it is stored and sent.
 *
 * @param sequence the log sequence of the snapshot
 * @param digest the digest of the bytes
 * @param bytes the JSON of the snapshot in UTF-8; not copied
 */
public record EncodedSnapshot(long sequence, Digest digest, byte[] bytes) {

    /**
     * Encode a snapshot.
     *
     * @param snapshot the snapshot
     * @return the bytes and their digest
     */
    public static EncodedSnapshot of(LogSnapshot snapshot) {
        byte[] bytes = JsonCodec.write(snapshot);
        return new EncodedSnapshot(snapshot.sequence(), Digest.of(bytes), bytes);
    }

    /**
     * Return a part of the bytes.
     *
     * @param offset the index of the first byte
     * @param maxBytes the maximum length of the part in bytes
     * @return the part, empty at the end
     */
    public byte[] part(int offset, int maxBytes) {
        int from = Math.min(Math.max(0, offset), bytes.length);
        return Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + maxBytes));
    }
}
