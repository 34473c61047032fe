package org.arbutusstack.wire.link;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.wire.WireException;

/**
 * Holds the key that the system's processes share, and computes and checks the proofs that a peer has it.
 *
 * <p>A proof covers the nonces of both ends and which end gives it, so that neither a recorded proof nor one's own sent
 * back is of use. Immutable; safe for use by any thread. The key is never shown.
 */
public final class LinkKey {

    private static final String ALGORITHM = "HmacSHA256";

    private static final int NONCE_BYTES = 32;

    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    /**
     * Creates a key.
     *
     * @param secret the shared secret
     */
    public LinkKey(String secret) {
        Assert.hasText(secret, "secret");
        this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    byte[] proof(LinkEnd prover, byte[] proverNonce, byte[] verifierNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(prover.name().getBytes(StandardCharsets.US_ASCII));
            mac.update(proverNonce);
            mac.update(verifierNonce);
            return mac.doFinal();
        } catch (GeneralSecurityException failure) {
            throw new WireException("Could not compute the proof of a link", failure);
        }
    }

    boolean verifies(byte[] given, LinkEnd prover, byte[] proverNonce, byte[] verifierNonce) {
        boolean isNonce = proverNonce.length == NONCE_BYTES;
        return isNonce && MessageDigest.isEqual(given, proof(prover, proverNonce, verifierNonce));
    }
}
