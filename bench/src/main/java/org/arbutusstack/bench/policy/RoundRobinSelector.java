package org.arbutusstack.bench.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.routing.RoutingRequest;
import org.arbutusstack.routing.RunnerSelector;
import org.arbutusstack.routing.RunnerView;

/** Chooses the runners that hold the model in turn, as a baseline. To be used by one thread. */
final class RoundRobinSelector implements RunnerSelector {

    private int next;

    @Override
    public Optional<RunnerView> select(RoutingRequest request, Collection<RunnerView> runners) {
        List<RunnerView> able = runners.stream()
                .filter(request::isServedBy)
                .sorted(Comparator.comparing(RunnerView::name))
                .toList();
        if (able.isEmpty()) {
            return Optional.empty();
        }
        next++;
        return Optional.of(able.get(next % able.size()));
    }
}
