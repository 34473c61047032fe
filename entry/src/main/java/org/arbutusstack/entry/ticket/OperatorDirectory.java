package org.arbutusstack.entry.ticket;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Directory of operators, which authenticates bearer tokens by their digests.
 *
 * <p>Each lookup compares the token with the digest of every operator in constant time. Immutable and thread-safe.
 */
public final class OperatorDirectory {

    private static final String SCHEME = "Bearer ";

    private final Map<String, byte[]> digestsByName;

    private OperatorDirectory(Map<String, byte[]> digestsByName) {
        this.digestsByName = Map.copyOf(digestsByName);
    }

    /**
     * Parse a directory from its setting.
     *
     * @param text the operators as comma-separated {@code name:digest} pairs, with SHA-256 digests in hexadecimal
     * @return the directory
     * @throws IllegalArgumentException if the text is malformed or contains an operator twice
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
     * Return the operator that a request is authenticated as.
     *
     * @param authorization the value of the {@code Authorization} header; may be {@code null}
     * @return the name of the operator, or empty if the token is missing or unknown
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
