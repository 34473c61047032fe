package org.arbutusstack.model.request;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Identifies a call that must not be repeated, by its service and the caller's idempotency key.
 *
 * @param service the name of the service
 * @param idempotencyKey the idempotency key of the caller
 */
public record ClaimKey(String service, String idempotencyKey) {

    /** The number of buckets over which the claims of a service are distributed; the same in all versions. */
    public static final int BUCKETS = 16;

    private static final int DIGEST_DIGITS = 32;

    private static final int HEX_RADIX = 16;

    /** Create a key; both parts must have text. */
    public ClaimKey {
        Assert.hasText(service, "service");
        Assert.hasText(idempotencyKey, "idempotencyKey");
    }

    /**
     * Return the digest by which the key is stored.
     *
     * @return the first 32 hexadecimal digits of the digest of service and key
     */
    public String digest() {
        return Digest.of(service + '\n' + idempotencyKey).hex().substring(0, DIGEST_DIGITS);
    }

    /**
     * Return the bucket that contains the claim of the key.
     *
     * @return the number of the bucket, from zero to {@link #BUCKETS} - 1
     */
    public int bucket() {
        return Character.digit(digest().charAt(0), HEX_RADIX);
    }
}
