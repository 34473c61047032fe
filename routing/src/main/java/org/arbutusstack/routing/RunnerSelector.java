package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the runner for a request.
 *
 * @see LeastOutstandingSelector
 */
public interface RunnerSelector {

    /**
     * Chooses.
     *
     * @param request what is needed
     * @param runners the runners that take new work
     * @return the runner, or empty if none can serve the request now
     */
    Optional<RunnerView> select(RoutingRequest request, Collection<RunnerView> runners);
}
