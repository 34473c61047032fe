package org.arbutusstack.ledger.peer;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.EncodedSnapshot;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.LogSnapshot;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.wire.frame.SnapshotPullFrame;
import org.arbutusstack.wire.frame.SnapshotPushFrame;
import org.arbutusstack.wire.link.Link;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends a snapshot of the ticket log in parts, each of which is requested separately, and assembles received parts.
 *
 * <p>The bytes served in each window of time are bounded; the receiver requests a part that was not served from another
 * peer. Not thread-safe.
 */
final class SnapshotTransfer {

    private static final Logger logger = LoggerFactory.getLogger(SnapshotTransfer.class);

    private static final int PART_BYTES = 64 * 1_024;

    private static final int MAX_SNAPSHOT_BYTES = 32 * 1_024 * 1_024;

    private static final long MAX_SERVED_BYTES = 8L * 1_024 * 1_024;

    private static final long WINDOW_MILLIS = 1_000;

    private final LogReplica replica;

    private final Clock clock;

    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    private Digest receivedDigest = Digest.ZERO;

    private long servedBytes;

    private long windowEndNanos;

    SnapshotTransfer(LogReplica replica, Clock clock) {
        this.replica = replica;
        this.clock = clock;
        this.windowEndNanos = clock.nowNanos();
    }

    void serve(Link link, Digest requestedDigest, int offset) {
        if (clock.isPast(windowEndNanos)) {
            windowEndNanos = clock.deadlineNanos(WINDOW_MILLIS);
            servedBytes = 0;
        }
        if (servedBytes >= MAX_SERVED_BYTES) {
            return;
        }
        EncodedSnapshot snapshot = replica.encodedSnapshot();
        int from = snapshot.digest().equals(requestedDigest) ? offset : 0;
        byte[] part = snapshot.part(from, PART_BYTES);
        if (part.length == 0) {
            return;
        }
        servedBytes += part.length;
        link.send(new SnapshotPushFrame(snapshot.digest(), snapshot.bytes().length, from, part));
    }

    /** Receive a part; return the next request to the peer, or empty if the snapshot is complete or unusable. */
    Optional<SnapshotPullFrame> receivePart(SnapshotPushFrame push) {
        if (push.sizeBytes() > MAX_SNAPSHOT_BYTES) {
            logger.error("event=snapshot-too-long bytes={}", push.sizeBytes());
            return Optional.empty();
        }
        if (!push.digest().equals(receivedDigest) || push.offset() == 0) {
            received.reset();
            receivedDigest = push.digest();
        }
        if (push.offset() == received.size()) {
            received.writeBytes(push.part());
        }
        if (received.size() < push.sizeBytes()) {
            return Optional.of(new SnapshotPullFrame(receivedDigest, received.size()));
        }
        install(received.toByteArray());
        received.reset();
        receivedDigest = Digest.ZERO;
        return Optional.empty();
    }

    private void install(byte[] bytes) {
        if (!Digest.of(bytes).equals(receivedDigest)) {
            logger.error("event=snapshot-digest-wrong digest={}", receivedDigest.hex());
            return;
        }
        try {
            LogSnapshot snapshot = JsonCodec.read(bytes, LogSnapshot.class);
            logger.info(
                    "event=snapshot-installed sequence={} outcome={}", snapshot.sequence(), replica.install(snapshot));
        } catch (ModelException malformed) {
            logger.error("event=snapshot-malformed detail={}", malformed.getMessage());
        }
    }
}
