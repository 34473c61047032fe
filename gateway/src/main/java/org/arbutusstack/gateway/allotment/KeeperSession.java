package org.arbutusstack.gateway.allotment;

import java.util.HashMap;
import java.util.Map;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AllotmentGrantFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Choice of the side that keeps a team's pool, as one entry makes it, and the loan of the entry's share to it.
 *
 * <p>The share is lent to one pool at a time: it is the entry's own again, or is lent to another keeper, only after the
 * length of a loan has passed since the last request that lent it. This is measured by the monotonic clock, which is
 * late at worst if the host is suspended. Does no I/O; confined to the entry's event loop.
 */
final class KeeperSession {

    private static final Logger logger = LoggerFactory.getLogger(KeeperSession.class);

    /** Time within which a grant is accepted, and after which the keeper is asked again. */
    private static final long ANSWER_MILLIS = 300;

    /** Unanswered requests after which the next side is asked; one may be due to a pause of either process. */
    private static final int MAX_UNANSWERED = 2;

    /** Time for which a side that did not answer is not chosen; its link is closed earlier if the host is silent. */
    private static final long AVOID_MILLIS = 3_000;

    /** Interval between checks whether another side has become first in rank. */
    private static final long RANK_MILLIS = 1_000;

    /** Time without an announcement after which an entry without requests follows another keeper. */
    private static final long ANNOUNCED_MILLIS = 700;

    /** Allowance for the difference between the speeds of two clocks over the length of a loan. */
    private static final long LOAN_MARGIN_MILLIS = 20;

    /** Sequences start at a number that an earlier session of the same team has not used lately. */
    private static final int FIRST_SEQUENCE_MASK = 0x3fffffff;

    private final String team;

    private final KeeperLinks links;

    private final Clock clock;

    private final ElapsedTime elapsed;

    private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

    /** Host of the keeper; null if there is none. */
    private String host;

    /** Side that is first in rank instead; null unless the entry waits for the end of its loan to follow it. */
    private String successor;

    private long rankAtNanos;

    private long heardAtNanos;

    private long echoKeeperId;

    private long echoNanos;

    /** Identifier of the keeper that the share was lent to last; zero before the first loan. */
    private long loanKeeperId;

    private long loanSentAtNanos;

    private int sequence;

    private boolean pending;

    private int unanswered;

    /** When the pending request was sent, in elapsed time. */
    private long sentAtElapsedNanos;

    private long sentAtNanos;

    KeeperSession(String team, KeeperLinks links, Clock clock, ElapsedTime elapsed) {
        this.team = team;
        this.links = Assert.notNull(links, "links");
        this.clock = Assert.notNull(clock, "clock");
        this.elapsed = Assert.notNull(elapsed, "elapsed");
        this.rankAtNanos = clock.nowNanos();
        this.heardAtNanos = clock.nowNanos();
        this.sentAtNanos = clock.nowNanos();
        this.sequence = (int) (clock.nowNanos() / Clock.NANOS_PER_MILLI) & FIRST_SEQUENCE_MASK;
    }

    /** Choose the keeper again if it was lost; {@code chooses} unless the entry only follows announcements. */
    void update(boolean chooses) {
        if (host != null && !links.isOpen(host)) {
            leave("link-closed");
        }
        if (isOverdue()) {
            pending = false;
            unanswered++;
            if (unanswered >= MAX_UNANSWERED) {
                avoidedUntilNanos.put(host, clock.deadlineNanos(AVOID_MILLIS));
                leave("no-answer");
            }
        }
        if (chooses && (host == null || clock.isPast(rankAtNanos))) {
            rank();
        }
        if (successor != null && ownsShare()) {
            follow(successor);
        }
    }

    private boolean isOverdue() {
        long ageNanos = elapsed.nowNanos() - sentAtElapsedNanos;
        return pending && ageNanos >= ANSWER_MILLIS * Clock.NANOS_PER_MILLI;
    }

    private void rank() {
        rankAtNanos = clock.deadlineNanos(RANK_MILLIS);
        avoidedUntilNanos.values().removeIf(clock::isPast);
        String first = links.firstInRank(team, candidate -> !avoidedUntilNanos.containsKey(candidate))
                .orElse(null);
        if (host == null && first != null) {
            follow(first);
        }
        successor = first == null || first.equals(host) ? null : first;
    }

    private void leave(String cause) {
        logger.info("event=allotment-keeper-lost team={} host={} cause={}", team, host, cause);
        host = null;
        successor = null;
        pending = false;
    }

    private void follow(String next) {
        logger.info("event=allotment-keeper team={} host={} previous={}", team, next, host);
        host = next;
        successor = null;
        echoKeeperId = 0;
        unanswered = 0;
        pending = false;
    }

    boolean hasKeeper() {
        return host != null;
    }

    boolean isPending() {
        return pending;
    }

    /** Return when the last request was sent. */
    long sentAtNanos() {
        return sentAtNanos;
    }

    /** Return when the share is the entry's own again, or was. */
    long loanEndNanos() {
        long millis = AllotmentPool.LOAN_MILLIS + LOAN_MARGIN_MILLIS;
        return loanKeeperId == 0 ? clock.nowNanos() : loanSentAtNanos + millis * Clock.NANOS_PER_MILLI;
    }

    /** Return whether the share is not lent. */
    boolean ownsShare() {
        return clock.isPast(loanEndNanos());
    }

    /** Return whether the next request lends the share to the keeper. */
    boolean lends() {
        boolean renews = echoKeeperId == loanKeeperId;
        return echoKeeperId != 0 && unanswered == 0 && successor == null && (renews || ownsShare());
    }

    /** Record that a request is sent, and return its echo. */
    Echo beginRequest(boolean answered) {
        sentAtNanos = clock.nowNanos();
        boolean isLoan = lends();
        if (isLoan) {
            loanKeeperId = echoKeeperId;
            loanSentAtNanos = sentAtNanos;
        }
        if (answered) {
            sequence = sequence == Integer.MAX_VALUE ? 1 : sequence + 1;
            pending = true;
            sentAtElapsedNanos = elapsed.nowNanos();
        }
        return new Echo(host, answered ? sequence : 0, isLoan ? echoKeeperId : 0, isLoan ? echoNanos : 0);
    }

    /** Follow the keeper that announces the team, if this entry has no keeper that does. */
    boolean announced(String from, AllotmentGrantFrame frame, boolean chooses) {
        boolean silent = host == null || clock.isPast(heardAtNanos + ANNOUNCED_MILLIS * Clock.NANOS_PER_MILLI);
        if (!chooses && silent && !from.equals(host)) {
            follow(from);
        }
        return from.equals(host) && heard(frame);
    }

    /** Apply an answer, and return whether it is the one to the pending request; a late one is dropped. */
    boolean answered(String from, AllotmentGrantFrame frame) {
        if (!from.equals(host) || !pending || frame.sequence() != sequence || isOverdue()) {
            return false;
        }
        pending = false;
        unanswered = 0;
        return heard(frame);
    }

    private boolean heard(AllotmentGrantFrame frame) {
        boolean isStale = frame.keeperId() == echoKeeperId && frame.keeperNanos() - echoNanos < 0;
        if (!isStale) {
            echoKeeperId = frame.keeperId();
            echoNanos = frame.keeperNanos();
        }
        heardAtNanos = clock.nowNanos();
        return true;
    }

    /** Return when the pending or last answered request was sent, in elapsed time. */
    long sentAtElapsedNanos() {
        return sentAtElapsedNanos;
    }

    /** Return how long ago a frame of the keeper was received, in milliseconds. */
    long heardAgoMillis() {
        return clock.millisSince(heardAtNanos);
    }

    String describe() {
        return "keeper=" + host + " lent=" + !ownsShare() + " grant_age_ms=" + heardAgoMillis() + " unanswered="
                + unanswered;
    }

    /** Where a request goes, and what it echoes; a keeper identifier of zero lends nothing. */
    record Echo(String host, int sequence, long keeperId, long keeperNanos) {}
}
