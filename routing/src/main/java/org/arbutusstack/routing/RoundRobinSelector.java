package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Lets the runners that hold the model take turns. To be used by one thread.
 *
 * @see RunnerSelector
 */
public final class RoundRobinSelector implements RunnerSelector {

    private int turn;

    @Override
    public Optional<RunnerView> select(RoutingRequest request, Collection<RunnerView> runners) {
        List<RunnerView> able = runners.stream()
                .filter(request::isServedBy)
                .sorted(Comparator.comparing(RunnerView::name))
                .toList();
        if (able.isEmpty()) {
            return Optional.empty();
        }
        turn++;
        return Optional.of(able.get(Math.floorMod(turn, able.size())));
    }
}
