package org.arbutusstack.placement;

import java.util.List;

/**
 * States that a runner is to load a model after others have made room.
 *
 * @param runner the runner's name
 * @param load the model to load
 * @param unload the models to unload first
 * @param fromStore whether the weights come from the weight store, whose loads are bounded
 */
public record ModelMove(String runner, String load, List<String> unload, boolean fromStore) {

    /** Copies the list. */
    public ModelMove {
        unload = List.copyOf(unload);
    }
}
