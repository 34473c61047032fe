package org.arbutusstack.routing;

/** Lists the ways to choose a runner; each constant makes its selector. */
public enum RoutingPolicy {
    /** Runners that hold the model take turns. */
    ROUND_ROBIN {
        @Override
        public RunnerSelector selector(String zone, long seed) {
            return new RoundRobinSelector();
        }
    },
    /** The runner with the least work known takes the request. */
    LEAST_OUTSTANDING {
        @Override
        public RunnerSelector selector(String zone, long seed) {
            return new LeastOutstandingSelector();
        }
    },
    /** Requests stick to runners that hold their adapter or prefix as long as the load stays even. */
    BALANCED {
        @Override
        public RunnerSelector selector(String zone, long seed) {
            return new BalancedSelector(zone, seed);
        }
    };

    /**
     * Makes a selector for one thread.
     *
     * @param zone the availability zone of the entry
     * @param seed the seed of what is left to chance
     * @return the selector
     */
    public abstract RunnerSelector selector(String zone, long seed);
}
