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
 * Key shared by the system's processes, which computes and verifies the proofs that a peer has the key.
 *
 * <p>A proof covers the nonces of both ends and the role of the proving end, so that neither a replayed nor a reflected
 * proof is valid. The key is never displayed. Immutable and thread-safe.
 */
public final class LinkKey {

    private static final String ALGORITHM = "HmacSHA256";

    private static final int NONCE_BYTES = 32;

    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    /**
     * Create a key.
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

    boolean verifies(byte[] candidate, LinkEnd prover, byte[] proverNonce, byte[] verifierNonce) {
        boolean isNonce = proverNonce.length == NONCE_BYTES;
        return isNonce && MessageDigest.isEqual(candidate, proof(prover, proverNonce, verifierNonce));
    }
}
