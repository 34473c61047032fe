package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * {@link RunnerSelector} that prefers runners that hold the adapter, then the lowest known load.
 *
 * <p>Stateless and thread-safe.
 *
 * @see RunnerSelector
 */
public final class LeastOutstandingSelector implements RunnerSelector {

    @Override
    public Optional<RunnerView> select(RoutingRequest request, Collection<RunnerView> runners) {
        return runners.stream()
                .filter(request::isServedBy)
                .min(Comparator.<RunnerView, Boolean>comparing(runner -> lacksAdapter(request, runner))
                        .thenComparing(RunnerView::load)
                        .thenComparing(RunnerView::name));
    }

    private static boolean lacksAdapter(RoutingRequest request, RunnerView runner) {
        return !request.adapterKey().isEmpty() && !runner.adapters().contains(request.adapterKey());
    }
}
