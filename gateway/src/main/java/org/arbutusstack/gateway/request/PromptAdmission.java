package org.arbutusstack.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.PrefillBudget;

/**
 * Decision whether a request is sent to the runner chosen for it, to the other candidate, or held until the prompts
 * sent before it have been read.
 *
 * <p>The load is a burst of prompts at runners whose streams have a target gap: sent at once, they make all streams
 * late that run there. Applies to services with deferrable routes, whose operators have said by their targets which
 * work can wait. Does no I/O; confined to the entry's event loop.
 *
 * @see PrefillBudget
 */
final class PromptAdmission {

    /** Share of its target that a request may be held for, so that time for its first event is left. */
    private static final long TARGET_DIVISOR = 2;

    /** Share of the target gap from which on a runner without events is not sent further prompts. */
    private static final long PAUSE_DIVISOR = 2;

    private final long maxHoldMillis;

    private final Clock clock;

    private Set<String> managedServices = Set.of();

    /** Create a decision that holds requests whose callers watch for a time, and none if it is zero. */
    PromptAdmission(long maxHoldMillis, Clock clock) {
        this.maxHoldMillis = Assert.atLeast(maxHoldMillis, 0, "maxHoldMillis");
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Apply a configuration, which decides for which services prompts are held. */
    void config(ServingConfig next) {
        managedServices = next.routes().stream()
                .filter(Route::isDeferrable)
                .flatMap(route -> route.backends().stream())
                .map(Route.WeightedService::service)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Return whether prompts for the service of a request may be held. */
    boolean isManaged(InboundRequest request) {
        return !managedServices.isEmpty() && request.needsModel() && managedServices.contains(request.service());
    }

    /**
     * Return the first of the runners that has room for the request; empty if it is to be held. One that is late in any
     * case never makes the streams of others late as well.
     */
    Optional<KnownRunner> select(ActiveRequest active, List<KnownRunner> ranked) {
        boolean maySend = !active.awaitsGap() && !mayHold(active.request());
        if (!isManaged(active.request()) || maySend) {
            return Optional.of(ranked.get(0));
        }
        return ranked.stream()
                .filter(runner -> hasRoom(runner, active.request()))
                .findFirst();
    }

    private static boolean hasRoom(KnownRunner runner, InboundRequest request) {
        Route route = request.route();
        long budgetTokens = PrefillBudget.tokens(
                route.targetGapMillis(), runner.speed().prefillTokensPerMilli(), route.isDeferrable());
        boolean isPaused = runner.speed().pauseMillis() > route.targetGapMillis() / PAUSE_DIVISOR;
        return !isPaused
                && PrefillBudget.admits(budgetTokens, runner.speed().unreadPromptTokens(), request.prefillTokens());
    }

    /** Return whether a request may still be held. */
    boolean mayHold(InboundRequest request) {
        Route route = request.route();
        if (route.targetGapMillis() == 0 || maxHoldMillis == 0) {
            return false;
        }
        long limitMillis = route.targetMillis() / TARGET_DIVISOR;
        long holdMillis = route.isDeferrable() ? limitMillis : Math.min(maxHoldMillis, limitMillis);
        return clock.millisSince(request.arrivedNanos()) < holdMillis;
    }
}
