package org.arbutusstack.gateway.team;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;

/** Reader of the {@code Authorization} header of RFC 6750; the key does not leave this class, only its digest. */
final class BearerKey {

    private static final String SCHEME = "bearer";

    private BearerKey() {}

    /**
     * Return the digest of the caller's key.
     *
     * @param authorization the values of all {@code Authorization} headers, one character for each byte
     * @return the digest; empty unless there is exactly one header, of this scheme, with a key
     */
    static Optional<Digest> digestOf(List<String> authorization) {
        if (authorization.size() != 1) {
            return Optional.empty();
        }
        String value = authorization.get(0).strip();
        int space = value.indexOf(' ');
        if (space < 0 || !value.substring(0, space).equalsIgnoreCase(SCHEME)) {
            return Optional.empty();
        }
        String key = value.substring(space).strip();
        return Optional.of(Digest.of(key.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
