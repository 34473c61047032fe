package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Optional;

/**
 * Strategy interface for selecting the runner of a request.
 *
 * @see LeastOutstandingSelector
 */
public interface RunnerSelector {

    /**
     * Select a runner.
     *
     * @param request the requirements of the request
     * @param runners the runners that accept new work
     * @return the runner, or empty if none can serve the request now
     */
    Optional<RunnerView> select(RoutingRequest request, Collection<RunnerView> runners);
}
