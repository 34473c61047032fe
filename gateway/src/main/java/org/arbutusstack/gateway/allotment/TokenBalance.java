package org.arbutusstack.gateway.allotment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Tokens of one team at one entry: blocks granted by a keeper, and what the entry's own share yields while it is not
 * lent.
 *
 * <p>Each block expires a fixed time after it was requested. What is used in a window was thus granted in a window that
 * is only that much longer, however many entries keep tokens. Does no I/O; confined to the entry's event loop.
 */
final class TokenBalance {

    /** Lifetime of a block from the sending of its request; half the time of the rate that a window may exceed. */
    static final long LIFETIME_MILLIS = 500;

    /**
     * Time of the own share that one request may take in advance from a full bucket, since a request may cost more than
     * the burst of one entry. It adds at most this time of the whole rate to a window.
     */
    private static final double ADVANCE_SECONDS = 0.2;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Least capacity of the own share; an allotment without a burst would admit nothing otherwise. */
    private static final double MIN_CAPACITY_SECONDS = 0.25;

    private final Clock clock;

    private final ElapsedTime elapsed;

    private final Deque<Block> blocks = new ArrayDeque<>();

    private double own;

    private long ownFilledAtNanos;

    TokenBalance(Clock clock, ElapsedTime elapsed) {
        this.clock = Assert.notNull(clock, "clock");
        this.elapsed = Assert.notNull(elapsed, "elapsed");
        this.ownFilledAtNanos = clock.nowNanos();
    }

    /** Add a block that was requested at a time, in elapsed time. */
    void add(double tokens, long requestedAtNanos) {
        if (tokens > 0) {
            insert(new Block(tokens, requestedAtNanos + LIFETIME_MILLIS * Clock.NANOS_PER_MILLI));
        }
    }

    /** Add the tokens of a request that did not run, unless they have expired. */
    void giveBack(AllotmentReceipt receipt) {
        insert(new Block(receipt.tokens(), receipt.expiresAtNanos()));
    }

    private void insert(Block block) {
        if (!blocks.isEmpty() && block.expiresAtNanos - blocks.peekFirst().expiresAtNanos < 0) {
            blocks.addFirst(block);
        } else {
            blocks.addLast(block);
        }
    }

    /** Accrue the own share, which is not lent. */
    void accrueOwn(Team team, int entries) {
        long nowNanos = clock.nowNanos();
        double gained = team.ratePerSecond() / entries * (nowNanos - ownFilledAtNanos) / NANOS_PER_SECOND;
        ownFilledAtNanos = nowNanos;
        own = Math.min(own + gained, ownCapacity(team, entries));
    }

    /** Return what the own share holds at most; without a burst, the same part of the rate as a pool holds. */
    private static double ownCapacity(Team team, int entries) {
        return Math.max(team.burst(), team.ratePerSecond() * MIN_CAPACITY_SECONDS) / entries;
    }

    /** Drop what the own share has yielded, since it is lent. */
    void lendOwn() {
        own = Math.min(own, 0);
        ownFilledAtNanos = clock.nowNanos();
    }

    /** Return the tokens that can be used now. */
    double tokens() {
        long nowNanos = elapsed.nowNanos();
        blocks.removeIf(block -> block.expiresAtNanos - nowNanos <= 0);
        double sum = own;
        for (Block block : blocks) {
            sum += block.tokens;
        }
        return sum;
    }

    /** Take the tokens of a request, if there are enough; blocks that expire first are used first. */
    Optional<AllotmentReceipt> take(Team team, double cost, int entries) {
        double available = tokens();
        boolean isFull = own > 0 && own >= ownCapacity(team, entries);
        double advance = isFull ? team.ratePerSecond() / entries * ADVANCE_SECONDS : 0;
        if (available + advance < cost) {
            return Optional.empty();
        }
        long expiresAtNanos = blocks.isEmpty()
                ? elapsed.nowNanos() + LIFETIME_MILLIS * Clock.NANOS_PER_MILLI
                : blocks.peekFirst().expiresAtNanos;
        double missing = cost;
        while (missing > 0 && !blocks.isEmpty()) {
            Block first = blocks.peekFirst();
            double used = Math.min(missing, first.tokens);
            first.tokens -= used;
            missing -= used;
            if (first.tokens <= 0) {
                blocks.removeFirst();
            }
        }
        own -= missing;
        return Optional.of(new AllotmentReceipt(team.name(), cost, expiresAtNanos));
    }

    /** Tokens that expire together. */
    private static final class Block {

        private final long expiresAtNanos;

        private double tokens;

        Block(double tokens, long expiresAtNanos) {
            this.tokens = tokens;
            this.expiresAtNanos = expiresAtNanos;
        }
    }
}
