package org.arbutusstack.kernel.digest;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.arbutusstack.kernel.Assert;

/**
 * SHA-256 digest of content.
 *
 * <p>Immutable and thread-safe.
 *
 * @param hex the digest as 64 lower-case hexadecimal digits
 */
public record Digest(String hex) {

    /** The digest that precedes the first entry of a chain. */
    public static final Digest ZERO = new Digest("0".repeat(64));

    private static final int HEX_LENGTH = 64;

    private static final int SHORT_HEX_LENGTH = 12;

    /** Check the number of digits. */
    public Digest {
        Assert.hasText(hex, "hex");
        Assert.isTrue(hex.length() == HEX_LENGTH, "'hex' must have 64 digits");
    }

    /**
     * Compute the digest of bytes.
     *
     * @param content the bytes
     * @return the digest
     */
    public static Digest of(byte[] content) {
        return new Digest(HexFormat.of().formatHex(sha256().digest(content)));
    }

    /**
     * Compute the digest of a text encoded in UTF-8.
     *
     * @param content the text
     * @return the digest
     */
    public static Digest of(String content) {
        return of(content.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Compute the digest of the chain that results from appending content to this one.
     *
     * @param next the digest of the appended content
     * @return the chain digest that includes the appended content
     */
    public Digest chain(Digest next) {
        return of(hex + next.hex);
    }

    /**
     * Return an abbreviated form of the digest for display.
     *
     * @return the first twelve hexadecimal digits
     */
    public String shortHex() {
        return hex.substring(0, SHORT_HEX_LENGTH);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("Could not compute a digest", impossible);
        }
    }
}
