package org.arbutusstack.ledger;

import java.util.Arrays;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * Holds a snapshot in bytes, as it is stored and sent.
 *
 * @param sequence the log sequence of the snapshot
 * @param digest the digest of the bytes
 * @param bytes the snapshot in JSON; not copied
 */
public record EncodedSnapshot(long sequence, Digest digest, byte[] bytes) {

    /**
     * Writes a snapshot.
     *
     * @param snapshot the snapshot
     * @return its bytes with their digest
     */
    public static EncodedSnapshot of(LogSnapshot snapshot) {
        byte[] bytes = JsonCodec.write(snapshot);
        return new EncodedSnapshot(snapshot.sequence(), Digest.of(bytes), bytes);
    }

    /**
     * Cuts out a part.
     *
     * @param offset the number of bytes before it
     * @param mostBytes the longest part, in bytes
     * @return the part, empty at the end
     */
    public byte[] part(int offset, int mostBytes) {
        int from = Math.min(Math.max(0, offset), bytes.length);
        return Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + mostBytes));
    }
}
