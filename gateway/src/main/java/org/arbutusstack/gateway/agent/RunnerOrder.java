package org.arbutusstack.gateway.agent;

/**
 * Order to a runner to load or unload a model or an adapter.
 *
 * @param load true to load, false to unload
 * @param model the name of the model
 * @param adapter the name of the model's adapter; empty for the model itself
 * @param expectedSequence the number of orders that the runner must have accepted before; invalidates late copies of
 *     the order
 * @param runnerId the identifier of the incarnation that is to execute the order
 */
public record RunnerOrder(boolean load, String model, String adapter, long expectedSequence, String runnerId) {

    /** Return whether the order concerns an adapter rather than a model. */
    boolean isForAdapter() {
        return !adapter.isEmpty();
    }
}
