package org.arbutusstack.placement;

import java.util.List;

/**
 * Decision that a runner loads a model, after it has unloaded others to free memory.
 *
 * @param runner the name of the runner
 * @param load the name of the model to load
 * @param unload the names of the models to unload first
 * @param fromStore whether the weights are read from the weight store, whose load rate is limited
 */
public record ModelMove(String runner, String load, List<String> unload, boolean fromStore) {

    /** Copy the list defensively. */
    public ModelMove {
        unload = List.copyOf(unload);
    }
}
