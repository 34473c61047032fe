package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * {@link RunnerSelector} that cycles through the runners that hold the model. Not thread-safe.
 *
 * @see RunnerSelector
 */
public final class RoundRobinSelector implements RunnerSelector {

    private int turn;

    @Override
    public Optional<RunnerView> select(RoutingRequest request, Collection<RunnerView> runners) {
        List<RunnerView> eligible = runners.stream()
                .filter(request::isServedBy)
                .sorted(Comparator.comparing(RunnerView::name))
                .toList();
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        turn++;
        return Optional.of(eligible.get(Math.floorMod(turn, eligible.size())));
    }
}
