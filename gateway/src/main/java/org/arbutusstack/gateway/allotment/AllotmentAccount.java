package org.arbutusstack.gateway.allotment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AllotmentGrantFrame;
import org.arbutusstack.wire.frame.AllotmentRequestFrame;

/**
 * Account of one team at one entry: decides whether a request is admitted, waits or is refused, and when the keeper is
 * asked for how many tokens.
 *
 * <p>Addresses teams that ask for several times their allotment at entries with uneven shares of the callers, and teams
 * that stay below it, of which next to none should be refused. Does no I/O; confined to the entry's event loop.
 */
final class AllotmentAccount {

    /** Longest wait of a request for tokens; a fraction of the targets that callers have for the first event. */
    private static final long MAX_WAIT_MILLIS = 150;

    /** Time of the recent demand for which tokens are kept. */
    private static final double TARGET_SECONDS = 0.25;

    /** Requests within that time from which on tokens are kept; blocks for fewer would mostly expire unused. */
    private static final double MIN_KEPT_REQUESTS = 2;

    /** Longest wait for a block where tokens are kept; the entry asks again for certain. */
    private static final long MAX_KEPT_WAIT_MILLIS = 1_000;

    /** Interval between requests for tokens while no request of a caller waits, and while one does. */
    private static final long INTERVAL_MILLIS = 100;

    private static final long WAITING_INTERVAL_MILLIS = 40;

    /** Interval between renewals of the loan while there is nothing to ask for. */
    private static final long RENEW_MILLIS = 400;

    /** Age of the last request below which an announcement needs no reply; below the interval of announcements. */
    private static final long RECENT_MILLIS = 300;

    /** Time since the last request of a caller after which the team is no longer in use here. */
    private static final long IN_USE_MILLIS = 60_000;

    /** Limit on the time after which a refused caller is asked to return. */
    private static final long MAX_RETRY_AFTER_MILLIS = 4_000;

    /** Resolution of the time that callers are told. */
    private static final long RETRY_AFTER_STEP_MILLIS = 10;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String entryName;

    private final Clock clock;

    private final ElapsedTime elapsed;

    private final TokenBalance balance;

    private final DemandEstimate demand;

    private final DemandEstimate granted;

    private final KeeperSession session;

    private final Deque<Hold> holds = new ArrayDeque<>();

    private Team team;

    private long configVersion;

    private double heldCost;

    /** When the pool has more for this entry, and how much. */
    private long supplyAtNanos;

    private double reserved;

    /** Time up to which refused callers have been asked to return. */
    private long promisedUntilNanos;

    private boolean used;

    private long inUseUntilNanos;

    private long announcedUntilNanos;

    AllotmentAccount(
            String entryName, Team team, long configVersion, KeeperLinks links, Clock clock, ElapsedTime elapsed) {
        this.entryName = entryName;
        this.team = Assert.notNull(team, "team");
        this.configVersion = configVersion;
        this.clock = Assert.notNull(clock, "clock");
        this.elapsed = Assert.notNull(elapsed, "elapsed");
        this.balance = new TokenBalance(clock, elapsed);
        this.demand = new DemandEstimate(clock);
        this.granted = new DemandEstimate(clock);
        this.session = new KeeperSession(team.name(), links, clock, elapsed);
        this.supplyAtNanos = clock.nowNanos();
        this.promisedUntilNanos = clock.nowNanos();
        this.inUseUntilNanos = clock.nowNanos();
        this.announcedUntilNanos = clock.deadlineNanos(IN_USE_MILLIS);
    }

    Team team() {
        return team;
    }

    KeeperSession session() {
        return session;
    }

    /** Apply a new configuration of the team; the keeper learns of it at once. */
    void config(Team next, long version) {
        team = next;
        configVersion = version;
        supplyAtNanos = clock.nowNanos();
    }

    /** Decide on a new request. */
    Admission admit(double cost, int entries, AdmissionListener listener) {
        update(entries);
        used = true;
        inUseUntilNanos = clock.deadlineNanos(IN_USE_MILLIS);
        demand.record(cost);
        Optional<AllotmentReceipt> receipt = holds.isEmpty() ? balance.take(team, cost, entries) : Optional.empty();
        if (receipt.isPresent()) {
            return new Admission.Admitted(receipt.get());
        }
        if (supplyMillis(heldCost + cost, entries) > MAX_WAIT_MILLIS) {
            return refuse(cost, entries);
        }
        holds.addLast(new Hold(cost, clock.deadlineNanos(MAX_WAIT_MILLIS), listener));
        heldCost += cost;
        return new Admission.Waiting();
    }

    private void update(int entries) {
        session.update(isInUse());
        if (session.ownsShare()) {
            balance.accrueOwn(team, entries);
        } else {
            balance.lendOwn();
        }
    }

    /** Return whether callers have sent requests of the team to this entry lately. */
    boolean isInUse() {
        return used && !clock.isPast(inUseUntilNanos);
    }

    /** Return whether the account holds no state that is still needed. */
    boolean isUnused() {
        return !isInUse() && holds.isEmpty() && clock.isPast(announcedUntilNanos);
    }

    /** Return after how many milliseconds an amount is expected to be there, in addition to the balance. */
    private long supplyMillis(double amount, int entries) {
        double missing = amount - Math.max(0, balance.tokens());
        if (!session.hasKeeper()) {
            return Math.max(0, clock.millisUntil(session.loanEndNanos()))
                    + millisFor(amount - balance.tokens(), team.ratePerSecond() / entries);
        }
        if (clock.isPast(supplyAtNanos)) {
            double soon = team.ratePerSecond() * MAX_WAIT_MILLIS / MILLIS_PER_SECOND;
            double first = holds.isEmpty() ? missing : holds.peekFirst().cost;
            return missing <= Math.max(soon, first) ? 0 : millisFor(missing, team.ratePerSecond());
        }
        long untilMillis = clock.millisUntil(supplyAtNanos);
        return missing <= reserved ? untilMillis : untilMillis + millisFor(missing - reserved, grantRate(entries));
    }

    private static long millisFor(double units, double perSecond) {
        return (long) Math.ceil(Math.max(0, units) / perSecond * MILLIS_PER_SECOND);
    }

    private double grantRate(int entries) {
        return Math.max(granted.perSecond(), team.ratePerSecond() / entries);
    }

    /** Refuse a request, and name a time up to which the supply of this entry covers all who were refused before. */
    private Admission refuse(double cost, int entries) {
        long nowNanos = clock.nowNanos();
        long startNanos = Math.max(nowNanos, supplyAtNanos);
        if (!session.hasKeeper()) {
            startNanos = Math.max(startNanos, session.loanEndNanos());
        }
        double ahead = heldCost - balance.tokens() - (clock.isPast(supplyAtNanos) ? 0 : reserved);
        startNanos += millisFor(ahead, grantRate(entries)) * Clock.NANOS_PER_MILLI;
        long costNanos = millisFor(cost, grantRate(entries)) * Clock.NANOS_PER_MILLI;
        long latestNanos = nowNanos + MAX_RETRY_AFTER_MILLIS * Clock.NANOS_PER_MILLI;
        promisedUntilNanos = Math.min(latestNanos, Math.max(promisedUntilNanos, startNanos) + costNanos);
        long steps = clock.millisUntil(promisedUntilNanos) / RETRY_AFTER_STEP_MILLIS + 1;
        return new Admission.Refused(steps * RETRY_AFTER_STEP_MILLIS);
    }

    /** Decide on the requests that wait; the caller notifies their listeners. */
    List<Decided> decideHeld(int entries) {
        update(entries);
        List<Decided> decided = new ArrayList<>();
        while (!holds.isEmpty()) {
            Optional<AllotmentReceipt> receipt = balance.take(team, holds.peekFirst().cost, entries);
            if (receipt.isEmpty()) {
                break;
            }
            decided.add(release(new Admission.Admitted(receipt.get())));
        }
        while (!holds.isEmpty() && clock.isPast(holds.peekFirst().endsAtNanos)) {
            decided.add(release(refuse(holds.peekFirst().cost, entries)));
        }
        decided.addAll(refuseHopeless(entries));
        return decided;
    }

    private Decided release(Admission decision) {
        Hold hold = holds.removeFirst();
        heldCost = holds.isEmpty() ? 0 : heldCost - hold.cost;
        return new Decided(hold.listener, hold.cost, decision);
    }

    /** Admit all requests that wait, since the team has no limit any more. */
    List<Decided> releaseAll() {
        List<Decided> decided = new ArrayList<>();
        while (!holds.isEmpty()) {
            decided.add(release(new Admission.Admitted(new AllotmentReceipt(team.name(), 0, elapsed.nowNanos()))));
        }
        return decided;
    }

    /** Refuse the requests for which the tokens are known to come too late. */
    private List<Decided> refuseHopeless(int entries) {
        List<Decided> refused = new ArrayList<>();
        double ahead = 0;
        for (Hold hold : List.copyOf(holds)) {
            long supplyMillis = supplyMillis(ahead + hold.cost, entries);
            if (supplyMillis > 0 && supplyMillis > clock.millisUntil(hold.endsAtNanos)) {
                holds.remove(hold);
                heldCost = holds.isEmpty() ? 0 : heldCost - hold.cost;
                refused.add(new Decided(hold.listener, hold.cost, refuse(hold.cost, entries)));
            } else {
                ahead += hold.cost;
            }
        }
        return refused;
    }

    /** Return the request that is to be sent to the keeper now, if one is due, and where it goes. */
    Optional<Outgoing> nextRequest(int entries) {
        if (!session.hasKeeper() || session.isPending() || !isInUse()) {
            return Optional.empty();
        }
        double target = targetTokens();
        double tokens = Math.max(0, balance.tokens());
        boolean isShort = heldCost > 0 || tokens < target / 2;
        long sinceMillis = clock.millisSince(session.sentAtNanos());
        long intervalMillis = heldCost > 0 ? WAITING_INTERVAL_MILLIS : INTERVAL_MILLIS;
        boolean firstLoan = session.lends() && session.ownsShare();
        boolean due = clock.isPast(supplyAtNanos) && (sinceMillis >= intervalMillis || firstLoan);
        if (!(isShort && due) && !(sinceMillis >= RENEW_MILLIS)) {
            return Optional.empty();
        }
        double wanted = Math.max(0, target + heldCost - tokens);
        double least = holds.isEmpty() ? demand.meanCost() : Math.max(0, holds.peekFirst().cost - tokens);
        long maxWaitMillis = target > 0 ? MAX_KEPT_WAIT_MILLIS : MAX_WAIT_MILLIS;
        if (target == 0 && !holds.isEmpty()) {
            maxWaitMillis = Math.max(1, clock.millisUntil(holds.peekFirst().endsAtNanos));
        }
        return Optional.of(request(entries, wanted, Math.min(wanted, least), (int) maxWaitMillis));
    }

    /** Return the tokens to keep: those for a part of the demand, or none if requests are too few to use them. */
    private double targetTokens() {
        double kept = Math.min(demand.perSecond(), team.ratePerSecond()) * TARGET_SECONDS;
        return kept >= MIN_KEPT_REQUESTS * demand.meanCost() ? kept : 0;
    }

    private Outgoing request(int entries, double wanted, double minimum, int maxWaitMillis) {
        KeeperSession.Echo echo = session.beginRequest(maxWaitMillis > 0);
        if (echo.keeperId() != 0) {
            balance.lendOwn();
        }
        return new Outgoing(
                echo.host(),
                new AllotmentRequestFrame(
                        team.name(),
                        entryName,
                        echo.sequence(),
                        echo.keeperId(),
                        echo.keeperNanos(),
                        configVersion,
                        team.ratePerSecond(),
                        team.burst(),
                        1.0 / entries,
                        wanted,
                        minimum,
                        maxWaitMillis));
    }

    /** Apply the answer to a request, unless it is late. */
    void answered(String from, AllotmentGrantFrame grant) {
        if (!session.answered(from, grant)) {
            return;
        }
        if (grant.tokens() > 0) {
            balance.add(grant.tokens(), session.sentAtElapsedNanos());
            granted.record(grant.tokens());
        }
        reserved = grant.reserved();
        supplyAtNanos = clock.deadlineNanos(grant.waitMillis());
    }

    /** Lend the share to a keeper that announces the team, unless it was lent by a request just now. */
    Optional<Outgoing> announced(String from, AllotmentGrantFrame frame, int entries) {
        announcedUntilNanos = clock.deadlineNanos(IN_USE_MILLIS);
        session.update(isInUse());
        boolean recent = clock.millisSince(session.sentAtNanos()) < RECENT_MILLIS && !session.ownsShare();
        boolean followed = session.announced(from, frame, isInUse());
        if (!followed || recent || session.isPending() || !session.lends()) {
            return Optional.empty();
        }
        return Optional.of(request(entries, 0, 0, 0));
    }

    void giveBack(AllotmentReceipt receipt) {
        balance.giveBack(receipt);
    }

    double tokens() {
        return balance.tokens();
    }

    int heldCount() {
        return holds.size();
    }

    /** Return the time until the pool has more for this entry, in milliseconds; empty if that is not known. */
    OptionalLong emptyMillis() {
        return clock.isPast(supplyAtNanos) ? OptionalLong.empty() : OptionalLong.of(clock.millisUntil(supplyAtNanos));
    }

    String describe() {
        return "team=" + team.name() + " tokens=" + Math.round(balance.tokens()) + " waiting=" + holds.size()
                + " demand_per_second=" + Math.round(demand.perSecond()) + " empty_ms="
                + emptyMillis().orElse(0) + " " + session.describe();
    }

    /** A request that waits for tokens. */
    private record Hold(double cost, long endsAtNanos, AdmissionListener listener) {}

    /** A decision on a request that has waited. */
    record Decided(AdmissionListener listener, double cost, Admission admission) {}

    /** A frame for the side on a host. */
    record Outgoing(String host, AllotmentRequestFrame frame) {}
}
