package org.arbutusstack.wire.link;

import org.arbutusstack.wire.WireException;
import org.arbutusstack.wire.frame.ChallengeFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.ProofFrame;

/**
 * Challenge-response handshake of one connection: each end sends a nonce and responds to the nonce of the other end
 * with a proof.
 *
 * <p>Not thread-safe; used by the transport's thread only.
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
     * Process a frame of the peer.
     *
     * @param frame the received frame
     * @return the frame to respond with, or {@code null} if there is none
     * @throws WireException if the frame is not part of the handshake or its proof is invalid
     */
    Frame process(Frame frame) {
        if (frame instanceof ChallengeFrame challenge && peerNonce == null) {
            peerNonce = challenge.nonce();
            return new ProofFrame(key.proof(end, ownNonce, peerNonce));
        }
        if (frame instanceof ProofFrame proof && peerNonce != null && verifies(proof)) {
            done = true;
            return null;
        }
        throw new WireException("Could not authenticate the peer: it did not prove that it has the shared key");
    }

    private boolean verifies(ProofFrame proof) {
        return key.verifies(proof.mac(), end.other(), peerNonce, ownNonce);
    }
}
