package org.arbutusstack.gateway.quarantine;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.LostRequestFrame;
import org.arbutusstack.wire.frame.StrikeFrame;

/**
 * Monitor of the backend servers that have no side to judge their crashes, because their service is a plain one or
 * their side is away: probes a server at which this entry lost requests, and strikes the content of these requests if
 * the server has crashed.
 *
 * <p>Each entry that lost requests probes for itself; all entries name a crash alike, so that it counts once. A server
 * may restart under its identifier: what tells its incarnations apart is when they started, as the server states in its
 * answer to the probe or registers in the directory. Confined to the entry's event loop.
 *
 * @see RunnerCrashes
 */
public final class CrashMonitor {

    private static final String DUTY = "crash-monitor";

    /** Limit on the incarnations watched at a time; those with the oldest losses are given up first. */
    private static final int MAX_WATCHES = 256;

    /** Interval between probes while it is open whether a server crashed; about the time of one probe. */
    private static final long PROBE_INTERVAL_MILLIS = 50;

    /** Interval between the probes that confirm a crash, as long as no other incarnation has answered. */
    private static final long CONFIRM_INTERVAL_MILLIS = 500;

    private static final long PROBE_TIMEOUT_MILLIS = 400;

    /** How long a server is watched after its last loss; several times a restart. */
    private static final long WATCH_MILLIS = 10_000;

    /** The least time after a crash in which a server is back; restarts take some seconds. */
    private static final long MIN_RESTART_MILLIS = 1_000;

    private final LivenessProbe probe;

    private final Function<RunnerEntry, String> healthPaths;

    private final Consumer<StrikeFrame> strikes;

    private final Clock clock;

    private final Counter probes;

    private final Map<String, Watch> watchesByIncarnation = new LinkedHashMap<>();

    /**
     * Create a monitor that watches no server.
     *
     * @param probe finds out whether a server still runs
     * @param healthPaths returns the path of a server's health check
     * @param strikes receives each strike, and each retraction of a strike
     * @param clock the clock of the process
     * @param registry the metrics registry of the process
     */
    public CrashMonitor(
            LivenessProbe probe,
            Function<RunnerEntry, String> healthPaths,
            Consumer<StrikeFrame> strikes,
            Clock clock,
            PrometheusRegistry registry) {
        this.probe = Assert.notNull(probe, "probe");
        this.healthPaths = Assert.notNull(healthPaths, "healthPaths");
        this.strikes = Assert.notNull(strikes, "strikes");
        this.clock = Assert.notNull(clock, "clock");
        this.probes = Counter.builder()
                .name("arbutus_quarantine_probes_total")
                .help("probes of backend servers at which requests were lost, by result")
                .labelNames("result")
                .register(registry);
    }

    /**
     * Record a request that was lost at a server.
     *
     * @param server the server
     * @param sentAgoMillis how long ago the request was sent, in milliseconds
     * @param keys the keys of its content
     */
    public void lost(RunnerEntry server, long sentAgoMillis, List<String> keys) {
        watch(server).lost(sentAgoMillis, keys);
    }

    /** Return the watch of a server, which it starts if there is none. */
    private Watch watch(RunnerEntry server) {
        registered(server);
        Watch watch = watchesByIncarnation.remove(server.incarnation());
        if (watch == null) {
            watch = new Watch(server);
        }
        watchesByIncarnation.put(server.incarnation(), watch);
        if (watchesByIncarnation.size() > MAX_WATCHES) {
            watchesByIncarnation.remove(watchesByIncarnation.keySet().iterator().next());
        }
        watch.endsAtNanos = clock.deadlineNanos(WATCH_MILLIS);
        return watch;
    }

    /**
     * Record a request that was cancelled at a server since its caller left. Its connection is closed, so that only
     * other signs of a crash, such as the registration of the next incarnation, tell whether it crashed the server.
     *
     * @param server the server
     * @param sentAgoMillis how long ago the request was sent, in milliseconds
     * @param keys the keys of its content
     */
    public void abandoned(RunnerEntry server, long sentAgoMillis, List<String> keys) {
        if (!server.leaving()) {
            watch(server).abandoned(sentAgoMillis, keys);
        }
    }

    /**
     * Record that a connection to a server could not be opened, so that it is probed if what was abandoned there may
     * have crashed it.
     *
     * @param server the server
     */
    public void unreachable(RunnerEntry server) {
        Watch watch = watchesByIncarnation.get(server.incarnation());
        if (watch != null && watch.crashes.hasAbandoned()) {
            watch.suspectAbandoned();
        }
    }

    /**
     * Record that a server is registered in the directory, which shows that an earlier one with the same identifier or
     * at the same address has ended, or that it leaves as planned.
     *
     * @param server the entry of the directory
     */
    public void registered(RunnerEntry server) {
        IsolatedSteps.forEach(DUTY, watchesByIncarnation.values(), watch -> {
            boolean isSamePlace = watch.server.id().equals(server.id())
                    || watch.server.address().equals(server.address());
            if (isSamePlace && server.startedAtMillis() > watch.server.startedAtMillis()) {
                watch.replaced();
            } else if (watch.server.isSameIncarnation(server) && server.leaving()) {
                watch.crashes.leaving();
            }
        });
    }

    /** Probe the servers for which a probe is due, and give up those whose losses are old. */
    public void tick() {
        watchesByIncarnation.values().removeIf(watch -> clock.isPast(watch.endsAtNanos));
        IsolatedSteps.forEach(DUTY, watchesByIncarnation.values(), Watch::probeIfDue);
    }

    /** Server at which requests were lost. */
    private final class Watch {

        private final RunnerEntry server;

        private RunnerCrashes crashes;

        /** Start of the incarnation that runs at the server; of one that is not listed yet, when it was noticed. */
        private long startedAtMillis;

        private long endsAtNanos;

        private long probeDueAtNanos;

        private boolean probing;

        /** Whether it is known that this incarnation runs, or that it has ended, or no further probe can show it. */
        private boolean decided = true;

        /** Whether a probe has failed since the last loss, so that the server may have restarted meanwhile. */
        private boolean wasAway;

        /** Whether probes are to show if what was abandoned has crashed the server. */
        private boolean abandonedSuspected;

        Watch(RunnerEntry server) {
            this.server = server;
            this.startedAtMillis = server.startedAtMillis();
            this.crashes = new RunnerCrashes(server.address().toString(), clock);
        }

        /** Report a request, which a later incarnation ran if it was sent after the crash of the one that is listed. */
        private LostRequestFrame report(long sentAgoMillis, List<String> keys) {
            if (crashes.isSentAfterRestart(sentAgoMillis, MIN_RESTART_MILLIS)) {
                startedAtMillis = clock.wallMillis();
                crashes = new RunnerCrashes(server.address().toString(), clock);
            }
            return new LostRequestFrame(startedAtMillis, sentAgoMillis, keys);
        }

        private void lost(long sentAgoMillis, List<String> keys) {
            LostRequestFrame report = report(sentAgoMillis, keys);
            publish(crashes.lost(report));
            if (crashes.hasUnexplainedLoss()) {
                decided = false;
                wasAway = false;
                probeDueAtNanos = clock.nowNanos();
                probeIfDue();
            }
        }

        private void abandoned(long sentAgoMillis, List<String> keys) {
            LostRequestFrame report = report(sentAgoMillis, keys);
            publish(crashes.abandoned(report));
        }

        private void suspectAbandoned() {
            abandonedSuspected = true;
            if (decided) {
                decided = false;
                probeDueAtNanos = clock.nowNanos();
                probeIfDue();
            }
        }

        private void replaced() {
            publish(crashes.replaced());
            decided = true;
        }

        private void probeIfDue() {
            if (decided || probing || !clock.isPast(probeDueAtNanos)) {
                return;
            }
            probing = true;
            long startedAtNanos = clock.nowNanos();
            probe.probe(
                    server,
                    healthPaths.apply(server),
                    clock.deadlineNanos(PROBE_TIMEOUT_MILLIS),
                    result -> handle(result, startedAtNanos));
        }

        private void handle(LivenessProbe.Result result, long startedAtNanos) {
            probing = false;
            probes.labelValues(result.name().toLowerCase(Locale.ROOT)).inc();
            switch (result) {
                case SAME_INCARNATION -> publish(crashes.pollAnswered(startedAtMillis, startedAtNanos));
                case SAME_IDENTIFIER -> handleSameIdentifier(startedAtNanos);
                case OTHER_INCARNATION -> replaced();
                case REFUSED -> publish(crashes.pollFailed());
                default -> {
                    // Nothing is known, so the next probe decides.
                }
            }
            abandonedSuspected &= crashes.hasAbandoned() && !result.isAnswer();
            boolean isOpen = crashes.hasUnexplainedLoss() || abandonedSuspected;
            wasAway |= !result.isAnswer();
            decided = result.isAnswer() && (!isOpen || wasAway);
            probeDueAtNanos = clock.deadlineNanos(isOpen ? PROBE_INTERVAL_MILLIS : CONFIRM_INTERVAL_MILLIS);
        }

        /**
         * Dismiss losses only if the server had no time to restart since. Otherwise this may be another incarnation, as
         * the directory will tell: strikes are kept, and losses wait for it.
         */
        private void handleSameIdentifier(long startedAtNanos) {
            boolean isKnownCrash = !crashes.hasUnexplainedLoss();
            if (!wasAway && !isKnownCrash) {
                publish(crashes.pollAnswered(startedAtMillis, startedAtNanos));
            }
        }

        private void publish(List<StrikeFrame> frames) {
            frames.forEach(strikes);
        }
    }
}
