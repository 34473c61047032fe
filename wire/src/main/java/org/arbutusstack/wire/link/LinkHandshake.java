package org.arbutusstack.wire.link;

import org.arbutusstack.wire.WireException;
import org.arbutusstack.wire.frame.ChallengeFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.ProofFrame;

/**
 * Runs the handshake of one connection: each end sends a nonce and answers the other's with a proof.
 *
 * <p>Used by the transport's thread only.
 */
final class LinkHandshake {

    private final LinkKey key;

    private final LinkEnd end;

    private final byte[] ownNonce = LinkKey.newNonce();

    private byte[] peerNonce;

    private boolean done;

    LinkHandshake(LinkKey key, LinkEnd end) {
        this.key = key;
        this.end = end;
    }

    Frame challenge() {
        return new ChallengeFrame(ownNonce);
    }

    boolean isDone() {
        return done;
    }

    /**
     * Takes a frame of the peer.
     *
     * @param frame the frame
     * @return the frame to answer with, or {@code null} if none is due
     * @throws WireException if the peer is not admitted
     */
    Frame take(Frame frame) {
        if (frame instanceof ChallengeFrame challenge && peerNonce == null) {
            peerNonce = challenge.nonce();
            return new ProofFrame(key.proof(end, ownNonce, peerNonce));
        }
        if (frame instanceof ProofFrame proof && peerNonce != null && verifies(proof)) {
            done = true;
            return null;
        }
        throw new WireException("Could not admit a peer: it did not prove that it has the key");
    }

    private boolean verifies(ProofFrame proof) {
        return key.verifies(proof.mac(), end.other(), peerNonce, ownNonce);
    }
}
