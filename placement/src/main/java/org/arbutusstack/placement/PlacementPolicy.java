package org.arbutusstack.placement;

/** Strategies for the number of copies of a model. */
public enum PlacementPolicy {

    /** Fills the available memory evenly, regardless of the demand. */
    STATIC {
        @Override
        int wantedCopies(int minimum, int present, Demand demand, PlacementWeights weights) {
            return Integer.MAX_VALUE;
        }

        @Override
        int neededCopies(int minimum, Demand demand, PlacementWeights weights) {
            return minimum;
        }
    },

    /** Adds and drops copies immediately as the demand changes. */
    FOLLOW_DEMAND {
        @Override
        int wantedCopies(int minimum, int present, Demand demand, PlacementWeights weights) {
            return neededCopies(minimum, demand, weights);
        }

        @Override
        int neededCopies(int minimum, Demand demand, PlacementWeights weights) {
            return Math.max(minimum, weights.copiesFor(demand.requests()));
        }

        @Override
        boolean dropsSurplus() {
            return true;
        }
    },

    /**
     * Adds a copy if the benefit to requests outweighs the cost of the load, and gives one up only if another model
     * needs its memory.
     */
    BALANCED {
        @Override
        int wantedCopies(int minimum, int present, Demand demand, PlacementWeights weights) {
            int wanted = Math.max(minimum, present);
            double excess = demand.requests() - (double) wanted * weights.requestsPerCopy();
            while (weights.isWorthLoad(excess)) {
                wanted++;
                excess -= weights.requestsPerCopy();
            }
            return wanted;
        }

        @Override
        int neededCopies(int minimum, Demand demand, PlacementWeights weights) {
            return Math.max(minimum, weights.copiesFor(demand.requests()));
        }

        @Override
        boolean displaces(int minimum, int present, Demand demand, PlacementWeights weights) {
            return present < wantedCopies(minimum, present, demand, weights);
        }
    };

    /**
     * Return how many copies are wanted if there is enough memory.
     *
     * @param minimum the minimum number of copies that the model's ticket demands
     * @param present the number of copies planned now
     * @param demand the demand for the model
     * @param weights the weights of benefit and cost
     * @return the number of copies
     */
    abstract int wantedCopies(int minimum, int present, Demand demand, PlacementWeights weights);

    /**
     * Return how many copies are kept even if another model needs their memory.
     *
     * @param minimum the minimum number of copies that the model's ticket demands
     * @param demand the demand for the model
     * @param weights the weights of benefit and cost
     * @return the number of copies
     */
    abstract int neededCopies(int minimum, Demand demand, PlacementWeights weights);

    /**
     * Return whether a model may take the memory of copies that other models do not need.
     *
     * @param minimum the minimum number of copies that the model's ticket demands
     * @param present the number of copies planned now
     * @param demand the demand for the model
     * @param weights the weights of benefit and cost
     * @return {@code true} if surplus copies of other models may be unloaded for it
     */
    boolean displaces(int minimum, int present, Demand demand, PlacementWeights weights) {
        return present < neededCopies(minimum, demand, weights);
    }

    /**
     * Return whether copies beyond those needed are given up immediately.
     *
     * @return {@code true} if surplus copies are dropped even if no model needs their memory
     */
    boolean dropsSurplus() {
        return false;
    }
}
