package org.arbutusstack.gateway.allotment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.collect.RecentlyUsedMap;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AllotmentGrantFrame;
import org.arbutusstack.wire.frame.AllotmentRequestFrame;

/**
 * Keeper of the pools of those teams whose entries have chosen this side.
 *
 * <p>A loan counts from the timestamp that the entry echoes, so that a request which was delayed on its way lends
 * nothing once the entry may use its share elsewhere. Pools start empty. Does no I/O; thread-safe.
 *
 * @see AllotmentGate
 */
public final class AllotmentKeeper {

    /** Limit on the teams with a pool; the one that was asked for least recently is evicted first. */
    private static final int MAX_TEAMS = 1_024;

    /** Interval between the announcements of a team in use, within which loans are renewed. */
    private static final long ANNOUNCE_MILLIS = 400;

    private final long id;

    private final Clock clock;

    private final ElapsedTime elapsed;

    private final Map<String, TeamPool> pools = new RecentlyUsedMap<>(MAX_TEAMS);

    /**
     * Create a keeper without pools.
     *
     * @param id the random identifier of the process, different from that of all others and not zero
     * @param clock the clock of the process
     */
    public AllotmentKeeper(long id, Clock clock) {
        Assert.isTrue(id != 0, "'id' must not be zero");
        this.id = id;
        this.clock = Assert.notNull(clock, "clock");
        this.elapsed = new ElapsedTime(clock);
    }

    /**
     * Apply a request of an entry.
     *
     * @param request the request
     * @return the answer to the entry, if it needs one, and the announcement to all entries, if one is due
     */
    public synchronized Answer request(AllotmentRequestFrame request) {
        AllotmentPool.Moment now = new AllotmentPool.Moment(clock.nowNanos(), elapsed.nowNanos());
        TeamPool team = pools.computeIfAbsent(request.team(), name -> new TeamPool(new AllotmentPool(now)));
        team.pool.refill(now);
        if (request.keeperId() == id && request.keeperNanos() - now.elapsedNanos() <= 0) {
            team.pool.lend(request);
        }
        if (request.sequence() == 0) {
            return new Answer(Optional.empty(), Optional.empty());
        }
        AllotmentPool.Grant grant = team.pool.take(request);
        boolean announces = now.nanos() - team.announceAtNanos >= 0;
        if (announces || !team.announced) {
            team.announced = true;
            team.announceAtNanos = clock.deadlineNanos(ANNOUNCE_MILLIS);
            return new Answer(
                    Optional.of(frame(request, request.sequence(), now, grant)),
                    Optional.of(frame(request, 0, now, AllotmentPool.Grant.NOTHING)));
        }
        return new Answer(Optional.of(frame(request, request.sequence(), now, grant)), Optional.empty());
    }

    private AllotmentGrantFrame frame(
            AllotmentRequestFrame request, int sequence, AllotmentPool.Moment now, AllotmentPool.Grant grant) {
        return new AllotmentGrantFrame(
                request.team(), sequence, id, now.elapsedNanos(), grant.tokens(), grant.waitMillis(), grant.reserved());
    }

    /**
     * Describe the pools for the state dump of the process.
     *
     * @return one line for each team
     */
    public synchronized List<String> describe() {
        List<String> lines = new ArrayList<>();
        pools.forEach((team, pool) -> lines.add("team=" + team + " " + pool.pool.describe()));
        return lines;
    }

    /**
     * Frames that a request gives rise to.
     *
     * @param grant the answer to the entry; empty if it needs none
     * @param announcement the announcement to all linked entries; empty if none is due
     */
    public record Answer(Optional<AllotmentGrantFrame> grant, Optional<AllotmentGrantFrame> announcement) {}

    /** Pool of a team, and when its use is to be announced again. */
    private static final class TeamPool {

        private final AllotmentPool pool;

        private boolean announced;

        private long announceAtNanos;

        TeamPool(AllotmentPool pool) {
            this.pool = pool;
        }
    }
}
