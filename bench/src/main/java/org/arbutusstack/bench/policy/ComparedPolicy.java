package org.arbutusstack.bench.policy;

import org.arbutusstack.placement.CopyPlanner;
import org.arbutusstack.placement.PlacementPolicy;
import org.arbutusstack.placement.PlacementWeights;
import org.arbutusstack.placement.Planner;
import org.arbutusstack.routing.RoutingPolicy;
import org.arbutusstack.routing.RunnerSelector;

/** The policies to compare. Each constant creates its planner and its runner selector. */
enum ComparedPolicy {
    /** Copies fill the memory evenly; requests go to the runners in turn. */
    STATIC_ROUND_ROBIN(PlacementPolicy.STATIC, RoutingPolicy.ROUND_ROBIN),
    /**
     * Copies fill the memory evenly; requests go to the runner with the fewest outstanding requests, first to those
     * with the adapter.
     */
    STATIC_LEAST_OUTSTANDING(PlacementPolicy.STATIC, RoutingPolicy.LEAST_OUTSTANDING),
    /** Copies fill the memory evenly; requests are routed as the daemons do by default. */
    STATIC_BALANCED(PlacementPolicy.STATIC, RoutingPolicy.BALANCED),
    /** Copies follow the demand immediately, without hysteresis. */
    FOLLOW_DEMAND(PlacementPolicy.FOLLOW_DEMAND, RoutingPolicy.BALANCED),
    /**
     * Copies follow the demand with hysteresis; requests go to the runner with the fewest outstanding requests, first
     * to those with the adapter.
     */
    PREVIOUS(PlacementPolicy.BALANCED, RoutingPolicy.LEAST_OUTSTANDING),
    /** The default policy of the daemons. */
    BALANCED(PlacementPolicy.BALANCED, RoutingPolicy.BALANCED);

    private final PlacementPolicy placement;

    private final RoutingPolicy routing;

    ComparedPolicy(PlacementPolicy placement, RoutingPolicy routing) {
        this.placement = placement;
        this.routing = routing;
    }

    Planner planner(PlacementWeights weights) {
        return new CopyPlanner(placement, weights);
    }

    RunnerSelector selector(String zone, long seed) {
        return routing.selector(zone, seed);
    }
}
