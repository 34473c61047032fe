package org.arbutusstack.gateway.allotment;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AllotmentRequestFrame;

/**
 * Pool of one team at the side that keeps it: a token bucket whose rate and capacity are the shares that entries lend.
 *
 * <p>Addresses 22 to 33 entries that ask for several times the allotment in uneven parts. Entries that ask for more
 * than there is get blocks in proportion to what they want, in the order in which they asked. A block that is not there
 * yet is kept for the entry until shortly after the time at which it is told to ask again.
 *
 * <p>Does no I/O; not thread-safe.
 */
final class AllotmentPool {

    /** Length of a loan, counted from the timestamp that the entry echoes. Covers two lost renewals. */
    static final long LOAN_MILLIS = 1_000;

    /** Time of the allotment that the blocks of all entries amount to, as entries keep tokens for that long. */
    private static final double BLOCK_SECONDS = 0.25;

    /** Least capacity in seconds of the rate, since tokens arrive between the requests of entries. */
    private static final double MIN_CAPACITY_SECONDS = 0.25;

    /** Time for which a want counts when blocks are sized; two intervals between the requests of an entry. */
    private static final long WANT_MILLIS = 500;

    private static final long MAX_WAIT_MILLIS = 5_000;

    /** Time after which a block is no longer kept; covers the ticks of an entry and a round trip. */
    private static final long CLAIM_MILLIS = 150;

    /** Time within which all entries have been told of a team and have lent their shares. */
    private static final long START_MILLIS = 1_000;

    /** Suspension of the host from which on nothing is accrued for the time since the last request. */
    private static final long MAX_SUSPENSION_MILLIS = 100;

    /** Least wait that is reported, so that entries do not ask in a loop. */
    private static final int MIN_WAIT_MILLIS = 10;

    /** Limit on the entries of a pool; above the size of any deployment. */
    private static final int MAX_ENTRIES = 2_048;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Member> members = new HashMap<>();

    private final Map<String, Place> places = new LinkedHashMap<>();

    private final long startedAtNanos;

    private double balance;

    private Moment filledAt;

    AllotmentPool(Moment now) {
        this.startedAtNanos = now.nanos();
        this.filledAt = now;
    }

    /** Accrue what the loans yield until now, and drop the loans that have ended. */
    void refill(Moment now) {
        long stepNanos = now.nanos() - filledAt.nanos();
        long elapsedNanos = now.elapsedNanos() - filledAt.elapsedNanos();
        double cap = fullRate() * stepNanos;
        double gained = 0;
        for (Member member : members.values()) {
            long validNanos = member.loanEndNanos - filledAt.elapsedNanos();
            gained += member.rate * Math.max(0, Math.min(validNanos, stepNanos));
        }
        boolean suspended = elapsedNanos - stepNanos > MAX_SUSPENSION_MILLIS * Clock.NANOS_PER_MILLI;
        filledAt = now;
        members.values().forEach(member -> member.endLoan(now));
        members.values().removeIf(member -> member.isUnused(now));
        places.values().removeIf(place -> now.nanos() - place.endsAtNanos >= 0);
        balance = Math.min(balance + (suspended ? 0 : Math.min(gained, cap) / NANOS_PER_SECOND), capacity());
    }

    /** Count the share of an entry until the loan has ended; {@link #refill} comes first. */
    void lend(AllotmentRequestFrame loan) {
        Member member = memberOf(loan.entry());
        long endNanos = loan.keeperNanos() + LOAN_MILLIS * Clock.NANOS_PER_MILLI;
        if (member == null || endNanos - filledAt.elapsedNanos() <= 0) {
            return;
        }
        member.loanEndNanos = Math.max(endNanos, member.loanEndNanos);
        member.version = loan.configVersion();
        member.fullRate = loan.ratePerSecond();
        member.fullBurst = loan.burst();
        member.rate = loan.ratePerSecond() * loan.share();
        member.burst = loan.burst() * loan.share();
    }

    private Member memberOf(String entry) {
        if (members.size() >= MAX_ENTRIES && !members.containsKey(entry)) {
            return null;
        }
        return members.computeIfAbsent(entry, name -> new Member(filledAt.elapsedNanos()));
    }

    /** Grant an entry what it can get now, and keep a block for it if it wants more; {@link #refill} comes first. */
    Grant take(AllotmentRequestFrame request) {
        Member member = memberOf(request.entry());
        if (member == null) {
            return Grant.NOTHING;
        }
        member.wanted = request.wanted();
        member.wantedUntilNanos = filledAt.nanos() + WANT_MILLIS * Clock.NANOS_PER_MILLI;
        if (request.wanted() == 0 || rate() == 0) {
            places.remove(request.entry());
            return Grant.NOTHING;
        }
        double block = blockOf(request);
        double granted = 0;
        if (balance - keptAhead(request.entry()) >= neededFor(block)) {
            places.remove(request.entry());
            granted = Math.max(block, Math.min(request.wanted(), balance - keptInAll()));
            balance -= granted;
        }
        if (granted >= request.wanted() / 2) {
            return new Grant(granted, 0, 0);
        }
        double next = granted > 0 ? Math.min(block, request.wanted() - granted) : block;
        return keep(request, granted, next);
    }

    /** Keep a block for an entry, unless the wait for it is too long. */
    private Grant keep(AllotmentRequestFrame request, double granted, double block) {
        double missing = keptAhead(request.entry()) + neededFor(block) - balance;
        boolean starting = filledAt.nanos() - startedAtNanos < START_MILLIS * Clock.NANOS_PER_MILLI;
        double expectedRate = starting ? fullRate() : rate();
        int waitMillis =
                (int) Math.min(MAX_WAIT_MILLIS, Math.max(0, Math.ceil(missing / expectedRate * MILLIS_PER_SECOND)));
        waitMillis = Math.max(MIN_WAIT_MILLIS, waitMillis);
        if (waitMillis > request.maxWaitMillis()) {
            places.remove(request.entry());
            return new Grant(granted, waitMillis, 0);
        }
        long endsAtNanos = filledAt.nanos() + (waitMillis + CLAIM_MILLIS) * Clock.NANOS_PER_MILLI;
        places.put(request.entry(), new Place(block, endsAtNanos));
        return new Grant(granted, waitMillis, block);
    }

    private double blockOf(AllotmentRequestFrame request) {
        double allWanted = 0;
        for (Member member : members.values()) {
            allWanted += filledAt.nanos() - member.wantedUntilNanos < 0 ? member.wanted : 0;
        }
        double part = Math.min(1, rate() * BLOCK_SECONDS / allWanted);
        return Math.max(request.minimum(), request.wanted() * part);
    }

    /** Return the balance needed to grant a block: a full pool grants one that is larger than its capacity. */
    private double neededFor(double block) {
        return Math.min(block, capacity());
    }

    private double keptAhead(String entry) {
        double kept = 0;
        for (Map.Entry<String, Place> place : places.entrySet()) {
            if (place.getKey().equals(entry)) {
                break;
            }
            kept += place.getValue().block();
        }
        return kept;
    }

    private double keptInAll() {
        return places.values().stream().mapToDouble(Place::block).sum();
    }

    /** Return the sum of the shares lent, in units per second: never more than the whole rate. */
    double rate() {
        return Math.min(
                members.values().stream().mapToDouble(member -> member.rate).sum(), fullRate());
    }

    private double capacity() {
        double lent =
                members.values().stream().mapToDouble(member -> member.burst).sum();
        Member latest = latest();
        double burst = latest == null ? 0 : Math.min(lent, latest.fullBurst);
        return Math.max(burst, rate() * MIN_CAPACITY_SECONDS);
    }

    private double fullRate() {
        Member latest = latest();
        return latest == null ? 0 : latest.fullRate;
    }

    /** Return the lender with the latest configuration; {@code null} if there is none. */
    private Member latest() {
        Member latest = null;
        for (Member member : members.values()) {
            if (member.rate > 0 && (latest == null || member.version > latest.version)) {
                latest = member;
            }
        }
        return latest;
    }

    String describe() {
        long lenders =
                members.values().stream().filter(member -> member.rate > 0).count();
        return "balance=" + Math.round(balance) + " capacity=" + Math.round(capacity()) + " per_second="
                + Math.round(rate()) + " of=" + Math.round(fullRate()) + " loans=" + lenders + " kept="
                + Math.round(keptInAll()) + " places=" + places.size();
    }

    /**
     * A moment on the keeper's clocks.
     *
     * @param nanos the monotonic time, in which tokens accrue
     * @param elapsedNanos the time that also passes while the host is suspended, in which loans end
     */
    record Moment(long nanos, long elapsedNanos) {}

    /**
     * What an entry gets.
     *
     * @param tokens the units granted
     * @param waitMillis the time until the entry can get more, in milliseconds; zero if it need not wait
     * @param reserved the units kept for it at that time
     */
    record Grant(double tokens, int waitMillis, double reserved) {

        static final Grant NOTHING = new Grant(0, 0, 0);
    }

    /** A block that is kept for an entry. */
    private record Place(double block, long endsAtNanos) {}

    /** Loan and want of one entry. */
    private static final class Member {

        /** End of the loan, in elapsed time. */
        private long loanEndNanos;

        private long version;

        private double fullRate;

        private double fullBurst;

        private double rate;

        private double burst;

        private double wanted;

        private long wantedUntilNanos;

        Member(long elapsedNanos) {
            this.loanEndNanos = elapsedNanos;
        }

        private void endLoan(Moment now) {
            if (loanEndNanos - now.elapsedNanos() <= 0) {
                rate = 0;
                burst = 0;
            }
        }

        private boolean isUnused(Moment now) {
            return rate == 0 && wantedUntilNanos - now.nanos() <= 0;
        }
    }
}
