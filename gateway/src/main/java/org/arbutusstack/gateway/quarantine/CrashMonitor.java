package org.arbutusstack.gateway.quarantine;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.LostRequestFrame;
import org.arbutusstack.wire.frame.StrikeFrame;

/**
 * Monitor of the backend servers that have no side to judge their crashes, because their service is a plain one or
 * their side is away: probes a server at which this entry lost requests, and strikes the content of these requests if
 * the server has crashed.
 *
 * <p>Each entry that lost requests probes for itself; all entries name a crash alike, so that it counts once. Confined
 * to the entry's event loop.
 *
 * @see RunnerCrashes
 */
public final class CrashMonitor {

    /** Limit on the servers watched at a time; those with the oldest losses are given up first. */
    private static final int MAX_SERVERS = 256;

    /** Interval between probes while it is open whether a server crashed; about the time of one probe. */
    private static final long PROBE_INTERVAL_MILLIS = 50;

    /** Interval between the probes that confirm a crash, as long as no other incarnation has answered. */
    private static final long CONFIRM_INTERVAL_MILLIS = 500;

    private static final long PROBE_TIMEOUT_MILLIS = 400;

    /** How long a server is watched after its last loss; several times a restart. */
    private static final long WATCH_MILLIS = 10_000;

    private final LivenessProbe probe;

    private final Function<RunnerEntry, String> healthPaths;

    private final Consumer<StrikeFrame> strikes;

    private final Clock clock;

    private final Counter probes;

    private final Map<String, Watch> watchesById = new LinkedHashMap<>();

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
        Watch watch = watchesById.remove(server.id());
        if (watch == null || !watch.server.isSameIncarnation(server)) {
            watch = new Watch(server);
        }
        watchesById.put(server.id(), watch);
        if (watchesById.size() > MAX_SERVERS) {
            watchesById.remove(watchesById.keySet().iterator().next());
        }
        watch.lost(sentAgoMillis, keys);
    }

    /** Probe the servers for which a probe is due, and give up those whose losses are old. */
    public void tick() {
        watchesById.values().removeIf(watch -> clock.isPast(watch.endsAtNanos));
        new ArrayList<>(watchesById.values()).forEach(Watch::probeIfDue);
    }

    /** Server at which requests were lost. */
    private final class Watch {

        private final RunnerEntry server;

        private final RunnerCrashes crashes;

        private long endsAtNanos;

        private long probeDueAtNanos;

        private boolean probing;

        /** Whether a probe has shown that this incarnation runs, or that it has ended. */
        private boolean decided;

        Watch(RunnerEntry server) {
            this.server = server;
            this.crashes = new RunnerCrashes(server.address().toString(), clock);
        }

        private void lost(long sentAgoMillis, List<String> keys) {
            endsAtNanos = clock.deadlineNanos(WATCH_MILLIS);
            publish(crashes.lost(new LostRequestFrame(server.startedAtMillis(), sentAgoMillis, keys)));
            if (crashes.hasUnexplainedLoss()) {
                decided = false;
                probeDueAtNanos = clock.nowNanos();
                probeIfDue();
            }
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
                case SAME_INCARNATION -> publish(crashes.pollAnswered(server.startedAtMillis(), startedAtNanos));
                case OTHER_INCARNATION -> publish(crashes.replaced());
                case REFUSED -> publish(crashes.pollFailed());
                default -> {
                    // Nothing is known, so the next probe decides.
                }
            }
            boolean isOpen = crashes.hasUnexplainedLoss();
            boolean answered =
                    result == LivenessProbe.Result.SAME_INCARNATION || result == LivenessProbe.Result.OTHER_INCARNATION;
            decided = answered && !isOpen;
            probeDueAtNanos = clock.deadlineNanos(isOpen ? PROBE_INTERVAL_MILLIS : CONFIRM_INTERVAL_MILLIS);
        }

        private void publish(List<StrikeFrame> frames) {
            frames.forEach(strikes);
        }
    }
}
