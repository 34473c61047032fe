package org.arbutusstack.gateway.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.PairSelector;
import org.arbutusstack.routing.RoutingRequest;
import org.arbutusstack.routing.RunnerView;

/**
 * Chooses the runner for the next attempt of a request. Does no I/O; used by the entry's loop only.
 *
 * @see PairSelector
 */
final class RunnerChooser {

    /** A request that has waited past its target is still sent where it begins within so long. */
    private static final long LEAST_WAIT_MILLIS = 300;

    /** The share of the runners that has to be trusted for the others to be left out. */
    private static final double LEAST_TRUSTED_SHARE = 0.6;

    /** The looks at one request with questions, after which it goes to a runner that has answered. */
    private static final int MOST_QUESTIONS = 2;

    private final RunnerTable runners;

    private final PairSelector engineSelector;

    private final String zone;

    private final Clock clock;

    RunnerChooser(RunnerTable runners, PairSelector engineSelector, String zone, Clock clock) {
        this.runners = Assert.notNull(runners, "runners");
        this.engineSelector = Assert.notNull(engineSelector, "engineSelector");
        this.zone = Assert.notNull(zone, "zone");
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Tells what is to be done next with a request. */
    sealed interface Choice {

        /** Send it to a runner. */
        record Send(KnownRunner runner) implements Choice {}

        /** Have its adapter loaded by a runner that holds its model. */
        record AwaitAdapter(KnownRunner runner) implements Choice {}

        /** All runners that hold its model would begin too late. */
        record Crowded(long firstEventMillis) implements Choice {}

        /** The sides of runners are to be asked before the request is sent to one of them. */
        record AskRunners(List<KnownRunner> runners) implements Choice {}

        /** The runners that hold its model were asked and have not answered yet. */
        record AwaitSign() implements Choice {}

        /** No runner holds its model. */
        record AwaitModel() implements Choice {}

        /** No runner of its service takes work. */
        record NoRunner() implements Choice {}
    }

    Choice choose(ActiveRequest active) {
        InboundRequest request = active.request();
        List<KnownRunner> able = new ArrayList<>(runners.takingWork(request.service()));
        able.removeIf(runner -> runner.outcomes().isUnreachable());
        if (able.isEmpty()) {
            return new Choice.NoRunner();
        }
        return request.needsModel() ? chooseEngine(active, able) : choosePlain(active, able);
    }

    private Choice choosePlain(ActiveRequest active, List<KnownRunner> able) {
        return preferred(active, able).stream()
                .min(Comparator.<KnownRunner>comparingInt(KnownRunner::outstanding)
                        .thenComparing(runner -> !runner.entry().zone().equals(zone))
                        .thenComparing(runner -> runner.entry().id()))
                .<Choice>map(Choice.Send::new)
                .orElseGet(Choice.NoRunner::new);
    }

    private Choice chooseEngine(ActiveRequest active, List<KnownRunner> able) {
        InboundRequest request = active.request();
        List<KnownRunner> holders =
                able.stream().filter(runner -> runner.holds(request.model())).toList();
        if (holders.isEmpty()) {
            return new Choice.AwaitModel();
        }
        List<KnownRunner> answering = preferred(active, holders).stream()
                .filter(runner -> !runner.isStatusOverdue())
                .toList();
        List<KnownRunner> fresh = answering.stream()
                .filter(runner -> !runner.needsLivenessCheck())
                .toList();
        boolean enoughAsked = active.questions() >= MOST_QUESTIONS && !fresh.isEmpty();
        List<KnownRunner> candidates = enoughAsked ? fresh : answering;
        if (candidates.isEmpty()) {
            return new Choice.AwaitSign();
        }
        RoutingRequest needs = new RoutingRequest(
                request.service(),
                request.model(),
                KnownRunner.adapterKey(request.model(), request.adapter()),
                request.prefixHash());
        List<RunnerView> pair = engineSelector.candidates(needs, request.id().hashCode(), views(candidates));
        if (pair.isEmpty()) {
            return new Choice.AwaitModel();
        }
        List<KnownRunner> unsure = pair.stream()
                .map(view -> runners.byId(view.name()))
                .filter(KnownRunner::needsLivenessCheck)
                .toList();
        if (!unsure.isEmpty()) {
            return new Choice.AskRunners(unsure);
        }
        KnownRunner favourite = runners.byId(engineSelector.better(pair).name());
        KnownRunner chosen = quickestWithin(active, candidates, favourite);
        if (chosen == null) {
            return crowded(answering);
        }
        if (chosen.needsLivenessCheck()) {
            return new Choice.AskRunners(List.of(chosen));
        }
        boolean ready = request.adapter().isEmpty() || needs.hasAdapterOn(chosen.view());
        return ready
                ? new Choice.Send(chosen)
                : new Choice.AwaitAdapter(runners.byId(adapterLoader(needs, candidates, chosen.view())));
    }

    /** Sends nobody away on old statuses: the runner that would begin first is asked before. */
    private static Choice crowded(List<KnownRunner> candidates) {
        KnownRunner soonest = candidates.stream()
                .min(Comparator.comparingLong(RunnerChooser::firstEventMillis))
                .orElseThrow();
        return soonest.needsLivenessCheck()
                ? new Choice.AskRunners(List.of(soonest))
                : new Choice.Crowded(firstEventMillis(soonest));
    }

    /** Keeps the chosen runner, or takes the quickest, if its first event comes in time; null if none does. */
    private KnownRunner quickestWithin(ActiveRequest active, List<KnownRunner> holders, KnownRunner chosen) {
        long waitedMillis = (clock.nowNanos() - active.request().arrivedNanos()) / Clock.NANOS_PER_MILLI;
        long limitMillis = Math.max(LEAST_WAIT_MILLIS, active.request().route().targetMillis() - waitedMillis);
        if (firstEventMillis(chosen) <= limitMillis) {
            return chosen;
        }
        return holders.stream()
                .filter(runner -> firstEventMillis(runner) <= limitMillis)
                .min(Comparator.comparingLong(RunnerChooser::firstEventMillis))
                .orElse(null);
    }

    private static long firstEventMillis(KnownRunner runner) {
        return runner.speed().firstEventMillis();
    }

    /** Chooses who loads an adapter: a runner that carries out another order cannot before that is done. */
    private String adapterLoader(RoutingRequest needs, List<KnownRunner> holders, RunnerView chosen) {
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

    /** Forecasts the time until a runner holds the model of a request. */
    long loadMillis(InboundRequest request, LoadForecast forecast) {
        return forecast.remainingMillis(request.service(), request.model(), runners.takingWork(request.service()));
    }

    /** Leaves out the runners that failed the request or are in doubt, as long as others are left. */
    private List<KnownRunner> preferred(ActiveRequest active, List<KnownRunner> able) {
        List<KnownRunner> fresh = new ArrayList<>(able);
        fresh.removeIf(runner -> active.avoids(runner.entry().id()));
        List<KnownRunner> sound = new ArrayList<>(fresh);
        sound.removeIf(runner -> runner.outcomes().isSuspect());
        if (sound.isEmpty()) {
            return fresh.isEmpty() ? able : fresh;
        }
        return withoutDoubted(sound);
    }

    /** Leaves out the runners that the fleet doubts; where it doubts many, their load would fell the others. */
    private static List<KnownRunner> withoutDoubted(List<KnownRunner> sound) {
        List<KnownRunner> trusted = new ArrayList<>(sound);
        trusted.removeIf(KnownRunner::isSuspectedByFleet);
        boolean areEnough = !trusted.isEmpty() && trusted.size() >= sound.size() * LEAST_TRUSTED_SHARE;
        return areEnough ? trusted : sound;
    }
}
