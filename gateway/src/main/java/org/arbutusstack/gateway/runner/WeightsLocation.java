package org.arbutusstack.gateway.runner;

import org.arbutusstack.gateway.config.EngineModel;

/** Tells where a runner keeps the weights of a model that it does not hold; each knows how long a load takes. */
public enum WeightsLocation {
    /** The weights come from the weight store. */
    NONE {
        @Override
        public long loadMillis(EngineModel model) {
            return model.loadMillis();
        }
    },

    /** The weights lie in the main memory of the runner's host. */
    IN_MAIN_MEMORY {
        @Override
        public long loadMillis(EngineModel model) {
            return model.warmMillis() > 0 ? model.warmMillis() : model.loadMillis();
        }
    },

    /** The weights lie on the disk of the runner's host. */
    ON_DISK {
        @Override
        public long loadMillis(EngineModel model) {
            return model.diskMillis() > 0 ? model.diskMillis() : model.loadMillis();
        }
    };

    /**
     * Tells how long a load takes from here.
     *
     * @param model the model
     * @return the time in milliseconds
     */
    public abstract long loadMillis(EngineModel model);

    /**
     * Tells the rank that stands for the place in a status.
     *
     * @return zero for none
     */
    public int rank() {
        return ordinal();
    }

    /**
     * Finds the place that a rank stands for.
     *
     * @param rank the rank; unknown ones stand for none
     * @return the place
     */
    public static WeightsLocation ofRank(int rank) {
        return rank > 0 && rank < values().length ? values()[rank] : NONE;
    }
}
