package org.arbutusstack.kernel.digest;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.arbutusstack.kernel.Assert;

/**
 * Names content by its SHA-256 digest.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param hex the digest in lower-case hexadecimal digits
 */
public record Digest(String hex) {

    /** The digest that stands before the first entry of a chain. */
    public static final Digest ZERO = new Digest("0".repeat(64));

    private static final int HEX_LENGTH = 64;

    private static final int SHORT_LENGTH = 12;

    /** Checks the length. */
    public Digest {
        Assert.hasText(hex, "hex");
        Assert.isTrue(hex.length() == HEX_LENGTH, "'hex' must have 64 digits");
    }

    /**
     * Computes the digest of bytes.
     *
     * @param content the bytes
     * @return the digest
     */
    public static Digest of(byte[] content) {
        return new Digest(HexFormat.of().formatHex(sha256().digest(content)));
    }

    /**
     * Computes the digest of a text in UTF-8.
     *
     * @param content the text
     * @return the digest
     */
    public static Digest of(String content) {
        return of(content.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Computes the digest that chains content to this one.
     *
     * @param next the digest of the content that follows
     * @return the chain's digest after that content
     */
    public Digest chain(Digest next) {
        return of(hex + next.hex);
    }

    /**
     * Shortens the digest for people.
     *
     * @return its first twelve digits
     */
    public String shortHex() {
        return hex.substring(0, SHORT_LENGTH);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("Could not compute a digest", impossible);
        }
    }
}
