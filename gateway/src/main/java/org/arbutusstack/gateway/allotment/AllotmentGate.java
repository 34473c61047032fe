package org.arbutusstack.gateway.allotment;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.log.LogThrottle;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AllotmentGrantFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gate that admits the requests of teams as long as all entries together stay within the allotment of each team.
 *
 * <p>Confined to the entry's event loop.
 *
 * @see AllotmentKeeper
 */
public final class AllotmentGate {

    private static final String DUTY = "allotments";

    private static final Logger logger = LoggerFactory.getLogger(AllotmentGate.class);

    /** Interval between ticks, in milliseconds: a fraction of the longest wait for tokens. */
    public static final long TICK_MILLIS = 20;

    /** Least interval between updates of the gauges. */
    private static final long GAUGE_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String entryName;

    private final KeeperLinks links;

    private final AllotmentShare share;

    private final Clock clock;

    private final ElapsedTime elapsed;

    private final AllotmentMetrics metrics;

    /** The accounts of the teams in use, by name. */
    private final Map<String, AllotmentAccount> accounts = new HashMap<>();

    private final Map<String, LogThrottle> refusalLogs = new HashMap<>();

    private final Map<String, Team> limitedTeams = new HashMap<>();

    private long configVersion;

    private long gaugesUntilNanos;

    /**
     * Create a gate; it admits everything until a configuration with teams is applied.
     *
     * @param entryName the name of this entry, which differs from those of all others
     * @param links the links to the sides that may keep pools
     * @param share the number of entries that share the allotments
     * @param clock the clock of the process
     * @param registry the registry of the process's metrics
     */
    public AllotmentGate(
            String entryName, KeeperLinks links, AllotmentShare share, Clock clock, PrometheusRegistry registry) {
        this.entryName = Assert.hasText(entryName, "entryName");
        this.links = Assert.notNull(links, "links");
        this.share = Assert.notNull(share, "share");
        this.clock = Assert.notNull(clock, "clock");
        this.elapsed = new ElapsedTime(clock);
        this.metrics = new AllotmentMetrics(registry);
        this.gaugesUntilNanos = clock.nowNanos();
    }

    /**
     * Apply a configuration: the accounts of teams that it does not limit are dropped, and their requests admitted.
     *
     * @param next the configuration
     */
    public void config(ServingConfig next) {
        configVersion = next.version();
        limitedTeams.clear();
        for (Team team : next.teams().all()) {
            if (team.isLimited()) {
                limitedTeams.put(team.name(), team);
            }
        }
        for (AllotmentAccount account : List.copyOf(accounts.values())) {
            Team team = limitedTeams.get(account.team().name());
            if (team == null || team.unit() != account.team().unit()) {
                drop(account);
            } else {
                account.config(team, configVersion);
            }
        }
    }

    private void drop(AllotmentAccount account) {
        accounts.remove(account.team().name());
        refusalLogs.remove(account.team().name());
        metrics.remove(account.team().name());
        IsolatedSteps.forEach(DUTY, account.releaseAll(), this::notifyListener);
    }

    /**
     * Decide on a request of a team.
     *
     * @param team the team
     * @param cost what the request counts against the allotment
     * @param listener notified if the request waits
     * @return the decision
     */
    public Admission admit(Team team, double cost, AdmissionListener listener) {
        Team limited = limitedTeams.get(team.name());
        if (limited == null) {
            return new Admission.Admitted(new AllotmentReceipt(team.name(), 0, elapsed.nowNanos()));
        }
        AllotmentAccount account = accountOf(limited);
        Admission decision = account.admit(cost, share.entries(), listener);
        record(account, cost, decision);
        send(account);
        return decision;
    }

    private AllotmentAccount accountOf(Team team) {
        return accounts.computeIfAbsent(
                team.name(), name -> new AllotmentAccount(entryName, team, configVersion, links, clock, elapsed));
    }

    private void record(AllotmentAccount account, double cost, Admission decision) {
        String team = account.team().name();
        if (decision instanceof Admission.Admitted) {
            metrics.count(team, "admitted");
        } else if (decision instanceof Admission.Waiting) {
            metrics.count(team, "waited");
        } else if (decision instanceof Admission.Refused refused) {
            metrics.count(team, "refused");
            LogThrottle throttle = refusalLogs.computeIfAbsent(team, name -> new LogThrottle(clock, 1));
            if (throttle.tryAcquire()) {
                logger.info(
                        "event=over-allotment cost={} retry_after_ms={} entries={} dropped={} {}",
                        Math.round(cost),
                        refused.retryAfterMillis(),
                        share.entries(),
                        throttle.takeSuppressed(),
                        account.describe());
            }
        }
    }

    /**
     * Give back the tokens of a request that has not run and never will. Tokens that would have expired are not given
     * back, since a later window must not get them in addition to its own.
     *
     * @param receipt the tokens
     */
    public void giveBack(AllotmentReceipt receipt) {
        AllotmentAccount account = accounts.get(receipt.team());
        if (account != null && receipt.tokens() > 0) {
            // Held requests are decided at the next tick: one that is admitted here and refused at once would give its
            // tokens back in turn, as deep as the queue is long.
            account.giveBack(receipt);
        }
    }

    /**
     * Apply a frame of a keeper.
     *
     * @param host the address of the keeper's host
     * @param frame the answer to a request, or an announcement
     */
    public void received(String host, AllotmentGrantFrame frame) {
        Team team = limitedTeams.get(frame.team());
        if (team == null) {
            return;
        }
        if (frame.isAnnouncement()) {
            accountOf(team).announced(host, frame, share.entries()).ifPresent(this::send);
        } else if (accounts.containsKey(team.name())) {
            AllotmentAccount account = accounts.get(team.name());
            account.answered(host, frame);
            decideHeld(account);
            send(account);
        }
    }

    /** Decide on requests that have waited long enough, and ask keepers for tokens that are needed. */
    public void tick() {
        if (limitedTeams.isEmpty()) {
            return;
        }
        share.entries();
        IsolatedSteps.forEach(DUTY, accounts.values(), account -> {
            decideHeld(account);
            send(account);
        });
        Iterator<AllotmentAccount> each = accounts.values().iterator();
        while (each.hasNext()) {
            AllotmentAccount account = each.next();
            if (account.isUnused()) {
                each.remove();
                refusalLogs.remove(account.team().name());
                metrics.remove(account.team().name());
            }
        }
        updateGauges();
    }

    private void updateGauges() {
        if (!clock.isPast(gaugesUntilNanos)) {
            return;
        }
        gaugesUntilNanos = clock.deadlineNanos(GAUGE_MILLIS);
        for (AllotmentAccount account : accounts.values()) {
            metrics.update(
                    account.team().name(),
                    account.heldCount(),
                    account.tokens(),
                    account.session().heardAgoMillis() / MILLIS_PER_SECOND);
        }
    }

    private void decideHeld(AllotmentAccount account) {
        for (AllotmentAccount.Decided decided : account.decideHeld(share.entries())) {
            record(account, decided.cost(), decided.admission());
            IsolatedSteps.run(DUTY, () -> notifyListener(decided));
        }
    }

    private void notifyListener(AllotmentAccount.Decided decided) {
        decided.listener().decided(decided.admission());
    }

    private void send(AllotmentAccount account) {
        Optional<AllotmentAccount.Outgoing> request = account.nextRequest(share.entries());
        request.ifPresent(this::send);
    }

    private void send(AllotmentAccount.Outgoing request) {
        links.send(request.host(), request.frame());
    }

    /**
     * Describe the accounts for the state dump of the process.
     *
     * @return one line for each team in use, and none if there is none
     */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        accounts.values().forEach(account -> lines.add(account.describe() + " entries=" + share.entries()));
        return lines;
    }
}
