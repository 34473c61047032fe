package org.arbutusstack.gateway.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.gateway.stream.StreamOrigin;
import org.arbutusstack.gateway.stream.StreamOrigins;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.RoutingRequest;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.routing.TwoChoiceSelector;

/**
 * Selector of the runner for the next attempt of a request. Does no I/O; confined to the entry's event loop.
 *
 * @see TwoChoiceSelector
 */
final class RunnerChooser {

    /**
     * Lower bound of the limit on the first event, so that a request that has waited past its target can still be sent.
     */
    private static final long MIN_LIMIT_MILLIS = 300;

    /** Least share of unsuspected runners at which the suspected ones are excluded. */
    private static final double MIN_TRUSTED_SHARE = 0.6;

    /** Number of status queries for a request after which only runners with a recent status are considered. */
    private static final int MAX_STATUS_QUERIES = 2;

    private static final Choice NONE_OF_VERSION =
            new Choice.NoRunner("no runner of the version that began the stream takes work");

    private static final Choice NONE_TAKES_WORK = new Choice.NoRunner("no runner of the service takes work");

    private final RunnerTable runners;

    private final TwoChoiceSelector engineSelector;

    private final String zone;

    private final ZoneCandidates zones;

    private final Clock clock;

    private final PromptAdmission admission;

    private final StreamOrigins origins;

    RunnerChooser(RoutingContext routing, PromptAdmission admission, Clock clock) {
        this.runners = routing.runners();
        this.zones = routing.zones();
        this.zone = zones.homeZone();
        this.engineSelector = new TwoChoiceSelector(zone);
        this.origins = routing.origins();
        this.admission = Assert.notNull(admission, "admission");
        this.clock = Assert.notNull(clock, "clock");
    }

    /** The next step for a request. */
    sealed interface Choice {

        /** Send the request to a runner. */
        record Send(KnownRunner runner) implements Choice {}

        /** Have a runner that holds the model load the adapter. */
        record AwaitAdapter(KnownRunner runner) implements Choice {}

        /**
         * Refuse the request: all runners that can serve it would begin too late. It is useless to come back earlier
         * than after the second time, which is zero unless runners limit their requests.
         */
        record AtCapacity(long firstEventMillis, long retryAfterMillis) implements Choice {}

        /** Query the sides of runners for their status before the request is sent to one of them. */
        record QueryStatus(List<KnownRunner> runners) implements Choice {}

        /** Wait for the status of runners that hold the model and have been queried. */
        record AwaitStatus() implements Choice {}

        /** Request permits of runners that limit their requests and wait for one: no other runner can serve it. */
        record AwaitPermit(List<KnownRunner> runners) implements Choice {}

        /** Hold the request until the prompts that its candidates were sent have been read. */
        record AwaitRoom() implements Choice {}

        /** Wait for the model: no runner holds it. */
        record AwaitModel() implements Choice {}

        /** Wait for the sides' answers to the question at which version the stream has begun. */
        record AwaitOrigin() implements Choice {}

        /** Refuse the request: no runner of its service accepts requests, or none that can continue its stream. */
        record NoRunner(String detail) implements Choice {}
    }

    /** Record that a runner has sent the first event of a stream, which binds the rest of it to the same version. */
    void streamBegun(ActiveRequest active, KnownRunner runner) {
        String version = runner.entry().softwareVersion();
        active.streamVersion(version);
        InboundRequest request = active.request();
        if (request.route().mayRepeat() && !request.streamOriginId().isEmpty()) {
            origins.begun(request.streamOriginId(), version);
        }
    }

    Choice choose(ActiveRequest active) {
        InboundRequest request = active.request();
        Optional<Choice> withoutOrigin = findOrigin(active);
        if (withoutOrigin.isPresent()) {
            return withoutOrigin.get();
        }
        List<KnownRunner> available = takingWork(active);
        available.removeIf(runner -> runner.outcomes().isUnreachable());
        if (available.isEmpty()) {
            return active.streamVersion().isPresent() ? NONE_OF_VERSION : NONE_TAKES_WORK;
        }
        return request.needsModel() ? chooseEngine(active, available) : choosePlain(active, available);
    }

    /** Return the runners that take work and may serve a request: versions misread each other's streams unnoticed. */
    private List<KnownRunner> takingWork(ActiveRequest active) {
        List<KnownRunner> accepting =
                new ArrayList<>(runners.takingWork(active.request().service()));
        active.streamVersion()
                .ifPresent(version -> accepting.removeIf(
                        runner -> !runner.entry().softwareVersion().equals(version)));
        return accepting;
    }

    /** Find out where a stream that the caller takes up has begun; return what to do if that is not known. */
    private Optional<Choice> findOrigin(ActiveRequest active) {
        InboundRequest request = active.request();
        if (!request.takesUpStream() || active.streamVersion().isPresent()) {
            return Optional.empty();
        }
        StreamOrigin origin = origins.find(request.service(), request.streamOriginId());
        if (origin instanceof StreamOrigin.Known known) {
            active.streamVersion(known.version());
            return Optional.empty();
        }
        if (origin instanceof StreamOrigin.Any) {
            return Optional.empty();
        }
        return Optional.of(
                origin instanceof StreamOrigin.Pending
                        ? new Choice.AwaitOrigin()
                        : new Choice.NoRunner("nobody remembers which version began the stream"));
    }

    private Choice choosePlain(ActiveRequest active, List<KnownRunner> available) {
        List<KnownRunner> permitted = withoutLimited(available);
        if (permitted.isEmpty()) {
            return awaitPermit(active, available);
        }
        return zones
                .restrict(active, withoutFailedOrSuspected(active, permitted), firstEventLimitMillis(active))
                .stream()
                .min(Comparator.<KnownRunner>comparingInt(KnownRunner::outstanding)
                        .thenComparing(runner -> !runner.entry().zone().equals(zone))
                        .thenComparing(runner -> runner.entry().id()))
                .<Choice>map(Choice.Send::new)
                .orElse(NONE_TAKES_WORK);
    }

    private Choice chooseEngine(ActiveRequest active, List<KnownRunner> available) {
        InboundRequest request = active.request();
        List<KnownRunner> holders = available.stream()
                .filter(runner -> runner.holds(request.model()))
                .toList();
        if (holders.isEmpty()) {
            return new Choice.AwaitModel();
        }
        List<KnownRunner> permitted = withoutLimited(holders);
        if (permitted.isEmpty()) {
            return awaitPermit(active, holders);
        }
        List<KnownRunner> responsive = withoutFailedOrSuspected(active, permitted).stream()
                .filter(runner -> !runner.isStatusOverdue())
                .toList();
        List<KnownRunner> recentlyReported = responsive.stream()
                .filter(runner -> !runner.needsLivenessCheck())
                .toList();
        boolean queriesExhausted = active.statusQueries() >= MAX_STATUS_QUERIES && !recentlyReported.isEmpty();
        List<KnownRunner> reported = queriesExhausted ? recentlyReported : responsive;
        if (reported.isEmpty()) {
            return new Choice.AwaitStatus();
        }
        List<KnownRunner> candidates = zones.restrict(active, reported, firstEventLimitMillis(active));
        RoutingRequest needs = new RoutingRequest(
                request.service(),
                request.model(),
                RunnerEntry.adapterKey(request.model(), request.adapter()),
                request.prefixHash());
        List<RunnerView> pair = engineSelector.candidates(needs, request.id().hashCode(), views(candidates));
        if (pair.isEmpty()) {
            return new Choice.AwaitModel();
        }
        List<KnownRunner> unconfirmed = pair.stream()
                .map(view -> runners.byId(view.name()))
                .filter(KnownRunner::needsLivenessCheck)
                .toList();
        if (!unconfirmed.isEmpty()) {
            return new Choice.QueryStatus(unconfirmed);
        }
        KnownRunner preferredRunner = runners.byId(engineSelector.better(pair).name());
        KnownRunner chosen = selectWithinLimit(active, candidates, preferredRunner);
        if (chosen == null) {
            return atCapacity(responsive);
        }
        if (chosen.needsLivenessCheck()) {
            return new Choice.QueryStatus(List.of(chosen));
        }
        Optional<KnownRunner> withRoom = admission.select(active, ranked(chosen, pair));
        if (withRoom.isEmpty()) {
            return active.awaitsGap() ? atCapacity(responsive) : new Choice.AwaitRoom();
        }
        chosen = withRoom.get();
        boolean ready = request.adapter().isEmpty() || needs.hasAdapterOn(chosen.view());
        return ready
                ? new Choice.Send(chosen)
                : new Choice.AwaitAdapter(runners.byId(selectAdapterLoader(needs, candidates, chosen.view())));
    }

    /** Return the chosen runner, followed by the other candidates. */
    private List<KnownRunner> ranked(KnownRunner chosen, List<RunnerView> pair) {
        List<KnownRunner> ranked = new ArrayList<>();
        ranked.add(chosen);
        pair.stream()
                .map(view -> runners.byId(view.name()))
                .filter(runner -> runner != chosen)
                .forEach(ranked::add);
        return ranked;
    }

    /** Exclude the runners that limit their requests and for which there is no permit, and mark them as wanted. */
    private static List<KnownRunner> withoutLimited(List<KnownRunner> candidates) {
        List<KnownRunner> permitted = new ArrayList<>(candidates);
        for (KnownRunner runner : candidates) {
            if (runner.limit().needsPermit()) {
                runner.limit().markWanted();
                permitted.remove(runner);
            }
        }
        return permitted;
    }

    /** Wait for a permit that may be free in time, or refuse the request at once. */
    private Choice awaitPermit(ActiveRequest active, List<KnownRunner> limited) {
        long waitMillis = limited.stream()
                .mapToLong(runner -> runner.limit().waitMillis())
                .min()
                .orElseThrow();
        return waitMillis <= firstEventLimitMillis(active)
                ? new Choice.AwaitPermit(limited)
                : new Choice.AtCapacity(waitMillis, waitMillis);
    }

    /** Never refuse a request because of old statuses: the runner that would begin first is queried before. */
    private static Choice atCapacity(List<KnownRunner> candidates) {
        KnownRunner fastest = candidates.stream()
                .min(Comparator.comparingLong(RunnerChooser::firstEventMillis))
                .orElseThrow();
        return fastest.needsLivenessCheck()
                ? new Choice.QueryStatus(List.of(fastest))
                : new Choice.AtCapacity(firstEventMillis(fastest), 0);
    }

    /**
     * Return the chosen runner if its first event is expected within the limit, else the fastest one, or {@code null}
     * if none is fast enough.
     */
    private KnownRunner selectWithinLimit(ActiveRequest active, List<KnownRunner> holders, KnownRunner chosen) {
        long limitMillis = firstEventLimitMillis(active);
        if (firstEventMillis(chosen) <= limitMillis) {
            return chosen;
        }
        return holders.stream()
                .filter(runner -> firstEventMillis(runner) <= limitMillis)
                .min(Comparator.comparingLong(RunnerChooser::firstEventMillis))
                .orElse(null);
    }

    private long firstEventLimitMillis(ActiveRequest active) {
        long waitedMillis = (clock.nowNanos() - active.request().arrivedNanos()) / Clock.NANOS_PER_MILLI;
        long limitMillis = Math.max(MIN_LIMIT_MILLIS, active.request().route().targetMillis() - waitedMillis);
        // Few runners can continue a stream, and its caller would lose the events that it has.
        return active.streamVersion().isEmpty()
                ? limitMillis
                : Math.max(limitMillis, clock.millisUntil(active.callerLeavesAtNanos()));
    }

    private static long firstEventMillis(KnownRunner runner) {
        return runner.speed().firstEventMillis();
    }

    /**
     * Choose the runner that loads an adapter. A runner that is loading a model is excluded, since it executes one
     * order at a time.
     */
    private String selectAdapterLoader(RoutingRequest needs, List<KnownRunner> holders, RunnerView chosen) {
        List<KnownRunner> free = holders.stream()
                .filter(runner -> runner.hasStatus() && runner.loadingModel().isEmpty())
                .toList();
        List<RunnerView> candidates = engineSelector.candidates(needs, 0, views(free));
        return candidates.isEmpty()
                ? chosen.name()
                : engineSelector.better(candidates).name();
    }

    private static List<RunnerView> views(List<KnownRunner> known) {
        return known.stream().map(KnownRunner::view).toList();
    }

    /** Forecast the time until a runner that can serve a request holds its model, in milliseconds. */
    long loadMillis(ActiveRequest active, LoadForecast forecast) {
        InboundRequest request = active.request();
        return forecast.remainingMillis(request.service(), request.model(), takingWork(active));
    }

    /** Exclude the runners that failed the request or are suspected, as long as others remain. */
    private List<KnownRunner> withoutFailedOrSuspected(ActiveRequest active, List<KnownRunner> available) {
        List<KnownRunner> untried = new ArrayList<>(available);
        untried.removeIf(runner -> active.hasFailedOn(runner.entry().id()));
        List<KnownRunner> healthy = new ArrayList<>(untried);
        healthy.removeIf(runner -> runner.outcomes().isSuspect());
        if (healthy.isEmpty()) {
            return untried.isEmpty() ? available : untried;
        }
        return withoutSuspectedByFleet(healthy);
    }

    /** Exclude the runners under fleet-wide suspicion, unless many are: their load would then overwhelm the others. */
    private static List<KnownRunner> withoutSuspectedByFleet(List<KnownRunner> healthy) {
        List<KnownRunner> trusted = new ArrayList<>(healthy);
        trusted.removeIf(KnownRunner::isSuspectedByFleet);
        boolean sufficient = !trusted.isEmpty() && trusted.size() >= healthy.size() * MIN_TRUSTED_SHARE;
        return sufficient ? trusted : healthy;
    }
}
