package org.arbutusstack.routing;

/** Policies for selecting a runner; each constant creates its {@link RunnerSelector}. */
public enum RoutingPolicy {
    /** Cycles through the runners that hold the model. */
    ROUND_ROBIN {
        @Override
        public RunnerSelector selector(String zone, long seed) {
            return new RoundRobinSelector();
        }
    },
    /** Selects the runner with the lowest known load. */
    LEAST_OUTSTANDING {
        @Override
        public RunnerSelector selector(String zone, long seed) {
            return new LeastOutstandingSelector();
        }
    },
    /** Keeps requests on runners that hold their adapter or prefix as long as the load stays even. */
    BALANCED {
        @Override
        public RunnerSelector selector(String zone, long seed) {
            return new BalancedSelector(zone, seed);
        }
    };

    /**
     * Create a selector for use by one thread.
     *
     * @param zone the availability zone of the entry
     * @param seed the seed for random choices
     * @return a new selector
     */
    public abstract RunnerSelector selector(String zone, long seed);
}
