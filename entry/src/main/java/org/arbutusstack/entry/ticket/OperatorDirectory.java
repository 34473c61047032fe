package org.arbutusstack.entry.ticket;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Tells which operator a token belongs to, from the tokens' digests alone.
 *
 * <p>Every check compares with every operator's digest in constant time. Immutable; safe for use by any thread.
 */
public final class OperatorDirectory {

    private static final String SCHEME = "Bearer ";

    private final Map<String, byte[]> digestsByName;

    private OperatorDirectory(Map<String, byte[]> digestsByName) {
        this.digestsByName = Map.copyOf(digestsByName);
    }

    /**
     * Reads a directory from its setting.
     *
     * @param text operators as {@code name:digest}, joined by commas; the digest is SHA-256 in hexadecimal digits
     * @return the directory
     * @throws IllegalArgumentException if the text is malformed or names an operator twice
     */
    public static OperatorDirectory parse(String text) {
        Map<String, byte[]> digests = new LinkedHashMap<>();
        for (String part : Assert.hasText(text, "operators").split(",")) {
            int colon = part.indexOf(':');
            Assert.isTrue(colon > 0, "'operators' must be of the form name:digest,name:digest");
            String name = part.substring(0, colon).trim();
            Digest digest = new Digest(part.substring(colon + 1).trim());
            byte[] previous = digests.put(name, digest.hex().getBytes(StandardCharsets.US_ASCII));
            Assert.isTrue(previous == null, "'operators' names '" + name + "' twice");
        }
        return new OperatorDirectory(digests);
    }

    /**
     * Finds the operator of a request.
     *
     * @param authorization the Authorization header; may be {@code null}
     * @return the operator's name, or empty if the token belongs to none
     */
    public Optional<String> operatorOf(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return Optional.empty();
        }
        String token = authorization.substring(SCHEME.length()).trim();
        byte[] given = Digest.of(token).hex().getBytes(StandardCharsets.US_ASCII);
        String found = null;
        for (Map.Entry<String, byte[]> operator : digestsByName.entrySet()) {
            boolean equal = MessageDigest.isEqual(operator.getValue(), given);
            found = equal ? operator.getKey() : found;
        }
        return Optional.ofNullable(found);
    }
}
