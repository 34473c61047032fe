package org.arbutusstack.gateway.runner;

import org.arbutusstack.gateway.config.EngineModel;

/** Location from which a runner loads the weights of a model that it does not hold; determines the load time. */
public enum WeightsLocation {
    /** No local copy: the weights are fetched from the weight store. */
    NONE {
        @Override
        public long loadMillis(EngineModel model) {
            return model.loadMillis();
        }
    },

    /** The weights are cached in the main memory of the runner's host. */
    IN_MAIN_MEMORY {
        @Override
        public long loadMillis(EngineModel model) {
            return model.memoryLoadMillis() > 0 ? model.memoryLoadMillis() : model.loadMillis();
        }
    },

    /** The weights are cached on the disk of the runner's host. */
    ON_DISK {
        @Override
        public long loadMillis(EngineModel model) {
            return model.diskLoadMillis() > 0 ? model.diskLoadMillis() : model.loadMillis();
        }
    };

    /**
     * Return how long a load from this location takes.
     *
     * @param model the model with its configured load times
     * @return the time in milliseconds
     */
    public abstract long loadMillis(EngineModel model);

    /**
     * Return the rank that encodes the location in a status.
     *
     * @return the rank; zero for {@link #NONE}
     */
    public int rank() {
        return ordinal();
    }

    /**
     * Return the location that a rank encodes.
     *
     * @param rank the rank in a status
     * @return the location; {@link #NONE} for an unknown rank
     */
    public static WeightsLocation ofRank(int rank) {
        return rank > 0 && rank < values().length ? values()[rank] : NONE;
    }
}
