package org.arbutusstack.placement;

/** Tells how many copies of a model are wanted. */
public enum PlacementPolicy {

    /** Fills the memory evenly, whatever the demand. */
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

    /** Follows the demand at once, up and down. */
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

    /** Adds a copy where the requests relieved outweigh the load, and gives one up only if its room is wanted. */
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
     * Tells how many copies are wanted if there is room.
     *
     * @param minimum the number that the model's ticket asks for
     * @param present the number planned now
     * @param demand the demand for the model
     * @param weights how to weigh
     * @return the number of copies
     */
    abstract int wantedCopies(int minimum, int present, Demand demand, PlacementWeights weights);

    /**
     * Tells how many copies are not given up for another model.
     *
     * @param minimum the number that the model's ticket asks for
     * @param demand the demand for the model
     * @param weights how to weigh
     * @return the number of copies
     */
    abstract int neededCopies(int minimum, Demand demand, PlacementWeights weights);

    /**
     * Tells whether a model may take the room of another's copies beyond those needed.
     *
     * @param minimum the number that the model's ticket asks for
     * @param present the number planned now
     * @param demand the demand for the model
     * @param weights how to weigh
     * @return whether it may
     */
    boolean displaces(int minimum, int present, Demand demand, PlacementWeights weights) {
        return present < neededCopies(minimum, demand, weights);
    }

    /**
     * Tells whether copies beyond those needed are given up at once.
     *
     * @return whether they are
     */
    boolean dropsSurplus() {
        return false;
    }
}
