package org.arbutusstack.entry.router;

import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.ClaimKey;
import org.arbutusstack.routing.ClaimOwnerSelector;
import org.arbutusstack.routing.RunnerSelector;
import org.arbutusstack.routing.RunnerView;

/**
 * Selector of the runner for the next attempt of a request: by the routing policy, by the owner of the claim for a
 * non-idempotent call, or by the quarantine for a request that may crash engines.
 *
 * <p>Not thread-safe: confined to the router's event loop.
 */
final class AttemptRouter {

    private final SideDirectory sides;

    private final RunnerSelector selector;

    private final ClaimOwnerSelector claimOwners = new ClaimOwnerSelector();

    private final Quarantine quarantine;

    private final Clock clock;

    AttemptRouter(SideDirectory sides, RunnerSelector selector, Quarantine quarantine, Clock clock) {
        this.sides = Assert.notNull(sides, "sides");
        this.selector = Assert.notNull(selector, "selector");
        this.quarantine = Assert.notNull(quarantine, "quarantine");
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Select a runner that has not failed the request, or any runner once the backoff has elapsed. */
    Optional<RunnerView> choose(PendingRequest pending) {
        List<RunnerView> views = sides.views();
        boolean backoffElapsed = clock.isPast(pending.retryAtNanos());
        if (pending.preferredSide() != null && !backoffElapsed) {
            return views.stream()
                    .filter(view -> view.name().equals(pending.preferredSide()))
                    .findFirst();
        }
        List<RunnerView> untried =
                views.stream().filter(view -> !pending.avoids(view.name())).toList();
        Optional<RunnerView> chosen = choose(pending, untried);
        if (chosen.isPresent() || !backoffElapsed) {
            return chosen;
        }
        pending.clearAvoided();
        return choose(pending, views);
    }

    private Optional<RunnerView> choose(PendingRequest pending, List<RunnerView> views) {
        CallerRequest request = pending.request();
        if (quarantine.isSuspect(request)) {
            return quarantine.choose(request, views);
        }
        if (request.idempotent()) {
            return selector.select(pending.routing(views), views);
        }
        ClaimKey key = new ClaimKey(request.routing().service(), request.idempotencyKey());
        return claimOwners.select(key, 0, views);
    }

    /**
     * Return by how many milliseconds the earliest possible answer would miss the deadline; not positive if it would be
     * in time.
     */
    long estimatedLatenessMillis(CallerRequest request) {
        long soonestMillis = sides.views().stream()
                .filter(request.routing()::isServedBy)
                .mapToLong(view -> sides.byName(view.name()).load().estimateMillis(request.priority()))
                .min()
                .orElse(0);
        return soonestMillis - clock.millisUntil(request.deadlineNanos());
    }
}
