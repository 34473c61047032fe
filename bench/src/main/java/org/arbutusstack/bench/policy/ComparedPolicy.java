package org.arbutusstack.bench.policy;

import org.arbutusstack.placement.CopyPlanner;
import org.arbutusstack.placement.PlacementPolicy;
import org.arbutusstack.placement.PlacementWeights;
import org.arbutusstack.placement.Planner;
import org.arbutusstack.routing.RoutingPolicy;
import org.arbutusstack.routing.RunnerSelector;

/** Lists the policies that are compared; each constant makes its planner and its selector. */
enum ComparedPolicy {
    /** Copies fill the memory evenly and requests go round. */
    STATIC_ROUND_ROBIN(PlacementPolicy.STATIC, RoutingPolicy.ROUND_ROBIN),
    /** Copies fill the memory evenly and requests go to the runner with the least work, adapters first. */
    STATIC_LEAST_OUTSTANDING(PlacementPolicy.STATIC, RoutingPolicy.LEAST_OUTSTANDING),
    /** Copies fill the memory evenly and requests go where the daemons send them. */
    STATIC_BALANCED(PlacementPolicy.STATIC, RoutingPolicy.BALANCED),
    /** Copies follow the demand at once, without hysteresis. */
    FOLLOW_DEMAND(PlacementPolicy.FOLLOW_DEMAND, RoutingPolicy.BALANCED),
    /** Copies follow the demand with hysteresis and requests go to the runner with the least work, adapters first. */
    PREVIOUS(PlacementPolicy.BALANCED, RoutingPolicy.LEAST_OUTSTANDING),
    /** The policy of the daemons. */
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
