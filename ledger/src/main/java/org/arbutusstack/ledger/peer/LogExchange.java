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
 * Keeps the ticket logs at both ends of links alike: each end tells how far its log reaches, and the one behind pulls
 * bounded batches from a peer that is ahead until it has caught up, or a snapshot if the entries are no longer kept.
 *
 * <p>A batch is appended only if its chain digest is the one computed here. A pull that stays unanswered is given to
 * another peer. Calls never block. Used by the one thread that owns the links; the copy of the log may be advanced by
 * others at the same time.
 *
 * @see LogReplica
 */
public final class LogExchange {

    /** The period of heartbeats while nothing changes, in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 500;

    private static final Logger logger = LoggerFactory.getLogger(LogExchange.class);

    private static final long PULL_MILLIS = 400;

    private static final long AVOID_MILLIS = 2_000;

    private static final int ENTRIES_PER_PUSH = 64;

    private static final long BYTES_PER_PUSH = 256L * 1_024;

    private final LogReplica replica;

    private final Clock clock;

    private final long heartbeatMillis;

    private final SnapshotTransfer snapshots;

    private final Map<Link, LogPeer> peers = new LinkedHashMap<>();

    private LogPeer pulledPeer;

    private long pullDeadlineNanos;

    private long heartbeatAtNanos;

    private boolean leaving;

    /**
     * Creates an exchange.
     *
     * @param replica this process's copy of the ticket log
     * @param clock the clock of the process
     * @param heartbeatMillis the period of heartbeats while nothing changes, in milliseconds
     */
    public LogExchange(LogReplica replica, Clock clock, long heartbeatMillis) {
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
        this.heartbeatMillis = Assert.atLeast(heartbeatMillis, 1, "heartbeatMillis");
        this.snapshots = new SnapshotTransfer(replica, clock);
        this.heartbeatAtNanos = clock.nowNanos();
    }

    /**
     * Tells peers from now on whether this process takes new work.
     *
     * @param isLeaving whether it does not
     */
    public void setDraining(boolean isLeaving) {
        leaving = isLeaving;
    }

    /**
     * Takes a link on and tells its peer how far the log reaches.
     *
     * @param link the link, open
     */
    public void linkOpened(Link link) {
        peers.put(link, new LogPeer(link));
        link.send(heartbeat());
    }

    /**
     * Gives a link up; what was pulled over it is pulled from another peer.
     *
     * @param link the link
     */
    public void linkClosed(Link link) {
        LogPeer peer = peers.remove(link);
        if (peer != null && peer == pulledPeer) {
            pulledPeer = null;
            pullIfBehind();
        }
    }

    /**
     * Takes a frame if it concerns the ticket log.
     *
     * @param link the link it came by
     * @param frame the frame
     * @return whether it was taken
     */
    public boolean handleFrame(Link link, Frame frame) {
        LogPeer peer = peers.get(link);
        if (frame instanceof HeartbeatFrame heartbeat) {
            heard(peer, heartbeat);
        } else if (frame instanceof LogPullFrame pull) {
            push(peer, pull);
        } else if (frame instanceof LogPushFrame push) {
            pushed(peer, push);
        } else if (frame instanceof SnapshotPullFrame pull) {
            serve(peer, pull.digest(), pull.offset());
        } else if (frame instanceof SnapshotPushFrame push) {
            received(peer, push);
        } else {
            return false;
        }
        return true;
    }

    private void heard(LogPeer peer, HeartbeatFrame heartbeat) {
        if (peer == null) {
            return;
        }
        Optional<Digest> own = replica.chainAt(heartbeat.sequence());
        boolean isSame = own.filter(heartbeat.chain()::equals).isPresent();
        if (own.isPresent() && !isSame) {
            diverged(peer, heartbeat.sequence());
        } else {
            peer.clearDiverged();
        }
        peer.told(heartbeat.sequence(), isSame);
        pullIfBehind();
    }

    private void diverged(LogPeer peer, long sequence) {
        if (!peer.isDiverged()) {
            logger.error(
                    "event=log-peer-diverged peer={} sequence={}", peer.link().remote(), sequence);
        }
        peer.markDiverged();
    }

    private void push(LogPeer peer, LogPullFrame pull) {
        if (peer == null) {
            return;
        }
        if (!replica.isRetained(pull.afterSequence())) {
            serve(peer, Digest.ZERO, 0);
            return;
        }
        replica.batchAfter(pull.afterSequence(), ENTRIES_PER_PUSH, BYTES_PER_PUSH)
                .ifPresent(batch -> {
                    List<byte[]> blobs =
                            batch.entries().stream().map(JsonCodec::write).toList();
                    peer.link().send(new LogPushFrame(batch.afterSequence(), blobs, batch.chain()));
                });
    }

    private void serve(LogPeer peer, Digest asked, int offset) {
        if (peer != null && replica.state().sequence() > 0) {
            snapshots.serve(peer.link(), asked, offset);
        }
    }

    private void received(LogPeer peer, SnapshotPushFrame push) {
        if (peer == null || peer != pulledPeer) {
            return;
        }
        long before = replica.state().sequence();
        Optional<SnapshotPullFrame> next = snapshots.take(push);
        if (next.isPresent() && peer.link().send(next.get())) {
            pullDeadlineNanos = clock.deadlineNanos(PULL_MILLIS);
            return;
        }
        pulledPeer = null;
        if (replica.state().sequence() == before) {
            peer.avoidUntil(clock.deadlineNanos(AVOID_MILLIS));
        }
        pullIfBehind();
    }

    private void pushed(LogPeer peer, LogPushFrame push) {
        if (peer == null || push.entries().isEmpty()) {
            return;
        }
        if (peer == pulledPeer) {
            pulledPeer = null;
        }
        if (append(push) == AppendOutcome.DIVERGED) {
            diverged(peer, push.afterSequence() + push.entries().size());
            peer.avoidUntil(clock.deadlineNanos(AVOID_MILLIS));
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
            pulledPeer.avoidUntil(clock.deadlineNanos(AVOID_MILLIS));
            pulledPeer = null;
        }
        long have = replica.state().sequence();
        peers.values().stream()
                .filter(peer -> peer.sequence() > have && !peer.isDiverged())
                .min(Comparator.comparing((LogPeer peer) -> peer.isAvoided(now))
                        .thenComparing(LogPeer::sequence, Comparator.reverseOrder()))
                .ifPresent(peer -> pull(peer, have));
    }

    private void pull(LogPeer peer, long afterSequence) {
        if (peer.link().send(new LogPullFrame(afterSequence))) {
            pulledPeer = peer;
            pullDeadlineNanos = clock.deadlineNanos(PULL_MILLIS);
        }
    }

    /** Tells the peers that are behind how far the log reaches now. */
    public void notifyLaggingPeers() {
        HeartbeatFrame heartbeat = heartbeat();
        peers.values().stream()
                .filter(peer -> peer.confirmedSequence() < heartbeat.sequence())
                .forEach(peer -> peer.link().send(heartbeat));
    }

    /** Sends heartbeats when they are due and gives unanswered pulls to another peer. */
    public void tick() {
        if (clock.isPast(heartbeatAtNanos)) {
            heartbeatAtNanos = clock.deadlineNanos(heartbeatMillis);
            HeartbeatFrame heartbeat = heartbeat();
            peers.keySet().forEach(link -> link.send(heartbeat));
        }
        pullIfBehind();
    }

    /**
     * Tells how far the peer behind a link has the same log in force as this process.
     *
     * @param link the link
     * @return the log sequence, zero if the peer told none or one whose chain digest differs
     */
    public long confirmedSequence(Link link) {
        LogPeer peer = peers.get(link);
        return peer == null ? 0 : peer.confirmedSequence();
    }

    /**
     * Tells how far this process's log reaches.
     *
     * @return the heartbeat to send now
     */
    public HeartbeatFrame heartbeat() {
        DesiredState state = replica.state();
        return new HeartbeatFrame(state.sequence(), state.chain(), leaving);
    }
}
