package org.arbutusstack.ledger.peer;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.AppendOutcome;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HeartbeatFrame;
import org.arbutusstack.wire.frame.LogPullFrame;
import org.arbutusstack.wire.frame.LogPushFrame;
import org.arbutusstack.wire.frame.SnapshotPullFrame;
import org.arbutusstack.wire.frame.SnapshotPushFrame;
import org.arbutusstack.wire.link.Link;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Synchronizes the replicas of the ticket log at both ends of links: each end reports the end of its log by heartbeats,
 * and the one that is behind pulls bounded batches of entries from a peer that is ahead, or a snapshot if the peer no
 * longer retains the entries.
 *
 * <p>A batch is appended only if it leads to the chain digest sent with it. A pull that is not answered in time is sent
 * to another peer. Calls never block. Used by the single thread that owns the links; other threads may advance the
 * replica concurrently.
 *
 * @see LogReplica
 */
public final class LogExchange {

    /** The interval between heartbeats of entries to each other while the log does not change, in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 500;

    private static final Logger logger = LoggerFactory.getLogger(LogExchange.class);

    private static final long PULL_TIMEOUT_MILLIS = 400;

    private static final long AVOIDANCE_MILLIS = 2_000;

    private static final int MAX_ENTRIES_PER_PUSH = 64;

    private static final long BYTES_PER_PUSH = 256L * 1_024;

    private final LogReplica replica;

    private final Clock clock;

    private final long heartbeatMillis;

    private final SnapshotTransfer snapshots;

    private final Map<Link, LogPeer> peers = new LinkedHashMap<>();

    private LogPeer pulledPeer;

    private long pullDeadlineNanos;

    private long nextHeartbeatNanos;

    private boolean draining;

    /**
     * Create an exchange.
     *
     * @param replica this process's replica of the ticket log
     * @param clock the source of monotonic and wall-clock time
     * @param heartbeatMillis the interval between heartbeats while the log does not change, in milliseconds
     */
    public LogExchange(LogReplica replica, Clock clock, long heartbeatMillis) {
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
        this.heartbeatMillis = Assert.atLeast(heartbeatMillis, 1, "heartbeatMillis");
        this.snapshots = new SnapshotTransfer(replica, clock);
        this.nextHeartbeatNanos = clock.nowNanos();
    }

    /**
     * Set whether the heartbeats from now on report that this process is draining.
     *
     * @param isDraining whether this process accepts no new work
     */
    public void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /**
     * Register a link that was opened, and send its peer a heartbeat.
     *
     * @param link the open link
     */
    public void linkOpened(Link link) {
        peers.put(link, new LogPeer(link));
        link.send(heartbeat());
    }

    /**
     * Unregister a link that was closed; a pull in flight on it is sent to another peer.
     *
     * @param link the closed link
     */
    public void linkClosed(Link link) {
        LogPeer peer = peers.remove(link);
        if (peer != null && peer == pulledPeer) {
            pulledPeer = null;
            pullIfBehind();
        }
    }

    /**
     * Handle a frame if it belongs to the exchange of the ticket log.
     *
     * @param link the link on which the frame was received
     * @param frame the frame
     * @return whether the frame was handled
     */
    public boolean handleFrame(Link link, Frame frame) {
        LogPeer peer = peers.get(link);
        if (frame instanceof HeartbeatFrame heartbeat) {
            receiveHeartbeat(peer, heartbeat);
        } else if (frame instanceof LogPullFrame pull) {
            sendEntries(peer, pull);
        } else if (frame instanceof LogPushFrame push) {
            receiveEntries(peer, push);
        } else if (frame instanceof SnapshotPullFrame pull) {
            sendSnapshotPart(peer, pull.digest(), pull.offset());
        } else if (frame instanceof SnapshotPushFrame push) {
            receiveSnapshotPart(peer, push);
        } else {
            return false;
        }
        return true;
    }

    private void receiveHeartbeat(LogPeer peer, HeartbeatFrame heartbeat) {
        if (peer == null) {
            return;
        }
        Optional<Digest> ownChain = replica.chainAt(heartbeat.sequence());
        boolean chainMatches = ownChain.filter(heartbeat.chain()::equals).isPresent();
        if (ownChain.isPresent() && !chainMatches) {
            reportDivergence(peer, heartbeat.sequence());
        } else {
            peer.clearDiverged();
        }
        peer.recordHeartbeat(heartbeat.sequence(), chainMatches);
        pullIfBehind();
    }

    private void reportDivergence(LogPeer peer, long sequence) {
        if (!peer.isDiverged()) {
            logger.error(
                    "event=log-peer-diverged peer={} sequence={}", peer.link().remote(), sequence);
        }
        peer.markDiverged();
    }

    private void sendEntries(LogPeer peer, LogPullFrame pull) {
        if (peer == null) {
            return;
        }
        if (!replica.isRetained(pull.afterSequence())) {
            sendSnapshotPart(peer, Digest.ZERO, 0);
            return;
        }
        replica.batchAfter(pull.afterSequence(), MAX_ENTRIES_PER_PUSH, BYTES_PER_PUSH)
                .ifPresent(batch -> {
                    List<byte[]> blobs =
                            batch.entries().stream().map(JsonCodec::write).toList();
                    peer.link().send(new LogPushFrame(batch.afterSequence(), blobs, batch.chain()));
                });
    }

    private void sendSnapshotPart(LogPeer peer, Digest requestedDigest, int offset) {
        if (peer != null && replica.state().sequence() > 0) {
            snapshots.serve(peer.link(), requestedDigest, offset);
        }
    }

    private void receiveSnapshotPart(LogPeer peer, SnapshotPushFrame push) {
        if (peer == null || peer != pulledPeer) {
            return;
        }
        long before = replica.state().sequence();
        Optional<SnapshotPullFrame> next = snapshots.receivePart(push);
        if (next.isPresent() && peer.link().send(next.get())) {
            pullDeadlineNanos = clock.deadlineNanos(PULL_TIMEOUT_MILLIS);
            return;
        }
        pulledPeer = null;
        if (replica.state().sequence() == before) {
            peer.avoidUntil(clock.deadlineNanos(AVOIDANCE_MILLIS));
        }
        pullIfBehind();
    }

    private void receiveEntries(LogPeer peer, LogPushFrame push) {
        if (peer == null || push.entries().isEmpty()) {
            return;
        }
        if (peer == pulledPeer) {
            pulledPeer = null;
        }
        if (append(push) == AppendOutcome.DIVERGED) {
            reportDivergence(peer, push.afterSequence() + push.entries().size());
            peer.avoidUntil(clock.deadlineNanos(AVOIDANCE_MILLIS));
        }
        pullIfBehind();
    }

    private AppendOutcome append(LogPushFrame push) {
        try {
            List<TicketEntry> entries = push.entries().stream()
                    .map(json -> JsonCodec.read(json, TicketEntry.class))
                    .toList();
            return replica.append(push.afterSequence(), entries, push.chain());
        } catch (ModelException malformed) {
            logger.error("event=log-push-malformed detail={}", malformed.getMessage());
            return AppendOutcome.DIVERGED;
        }
    }

    private void pullIfBehind() {
        long now = clock.nowNanos();
        if (pulledPeer != null && now - pullDeadlineNanos < 0) {
            return;
        }
        if (pulledPeer != null) {
            pulledPeer.avoidUntil(clock.deadlineNanos(AVOIDANCE_MILLIS));
            pulledPeer = null;
        }
        long ownSequence = replica.state().sequence();
        peers.values().stream()
                .filter(peer -> peer.sequence() > ownSequence && !peer.isDiverged())
                .min(Comparator.comparing((LogPeer peer) -> peer.isAvoided(now))
                        .thenComparing(LogPeer::sequence, Comparator.reverseOrder()))
                .ifPresent(peer -> pull(peer, ownSequence));
    }

    private void pull(LogPeer peer, long afterSequence) {
        if (peer.link().send(new LogPullFrame(afterSequence))) {
            pulledPeer = peer;
            pullDeadlineNanos = clock.deadlineNanos(PULL_TIMEOUT_MILLIS);
        }
    }

    /** Send a heartbeat to the peers that are not known to have the whole log; called when the replica has advanced. */
    public void notifyLaggingPeers() {
        HeartbeatFrame heartbeat = heartbeat();
        peers.values().stream()
                .filter(peer -> peer.confirmedSequence() < heartbeat.sequence())
                .forEach(peer -> peer.link().send(heartbeat));
    }

    /** Send heartbeats that are due, and send a pull that was not answered in time to another peer. */
    public void tick() {
        if (clock.isPast(nextHeartbeatNanos)) {
            nextHeartbeatNanos = clock.deadlineNanos(heartbeatMillis);
            HeartbeatFrame heartbeat = heartbeat();
            peers.keySet().forEach(link -> link.send(heartbeat));
        }
        pullIfBehind();
    }

    /**
     * Return the sequence up to which the peer of a link has the same log in force as this process.
     *
     * @param link the link
     * @return the log sequence, zero if the peer reported none or one whose chain digest differs or is unknown here
     */
    public long confirmedSequence(Link link) {
        LogPeer peer = peers.get(link);
        return peer == null ? 0 : peer.confirmedSequence();
    }

    /**
     * Create a heartbeat that reports the end of this process's log.
     *
     * @return the current heartbeat
     */
    public HeartbeatFrame heartbeat() {
        DesiredState state = replica.state();
        return new HeartbeatFrame(state.sequence(), state.chain(), draining);
    }
}
