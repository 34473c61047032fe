package org.arbutusstack.model.request;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Names a call that may not be repeated: its service and the caller's idempotency key.
 *
 * @param service the service
 * @param idempotencyKey the caller's key
 */
public record ClaimKey(String service, String idempotencyKey) {

    /** The number of buckets that the claims of one service are spread over; fixed for all versions. */
    public static final int BUCKETS = 16;

    private static final int DIGEST_DIGITS = 32;

    private static final int HEX_RADIX = 16;

    /** Checks the key. */
    public ClaimKey {
        Assert.hasText(service, "service");
        Assert.hasText(idempotencyKey, "idempotencyKey");
    }

    /**
     * Names the key by its digest.
     *
     * @return the first 32 hexadecimal digits of the digest of service and key
     */
    public String digest() {
        return Digest.of(service + '\n' + idempotencyKey).hex().substring(0, DIGEST_DIGITS);
    }

    /**
     * Finds the bucket that holds the key's claim.
     *
     * @return zero to {@link #BUCKETS} less one
     */
    public int bucket() {
        return Character.digit(digest().charAt(0), HEX_RADIX);
    }
}
