package org.arbutusstack.bench.policy;

import java.util.function.Supplier;
import org.arbutusstack.placement.CopyPlanner;
import org.arbutusstack.placement.PlacementPolicy;
import org.arbutusstack.placement.PlacementWeights;
import org.arbutusstack.placement.Planner;
import org.arbutusstack.routing.LeastOutstandingSelector;
import org.arbutusstack.routing.RunnerSelector;

/** Lists the policies that are compared; each constant makes its planner and its selector. */
enum ComparedPolicy {
    /** Copies fill the memory evenly and requests go round. */
    STATIC_ROUND_ROBIN(PlacementPolicy.STATIC, RoundRobinSelector::new),
    /** Copies fill the memory evenly and requests go to the runner with the least work. */
    STATIC_LEAST_OUTSTANDING(PlacementPolicy.STATIC, LeastOutstandingSelector::new),
    /** Copies follow the demand at once, without hysteresis. */
    FOLLOW_DEMAND(PlacementPolicy.FOLLOW_DEMAND, LeastOutstandingSelector::new),
    /** The policy of the daemons. */
    BALANCED(PlacementPolicy.BALANCED, LeastOutstandingSelector::new);

    private final PlacementPolicy placement;

    private final Supplier<RunnerSelector> selector;

    ComparedPolicy(PlacementPolicy placement, Supplier<RunnerSelector> selector) {
        this.placement = placement;
        this.selector = selector;
    }

    Planner planner(PlacementWeights weights) {
        return new CopyPlanner(placement, weights);
    }

    RunnerSelector selector() {
        return selector.get();
    }
}
