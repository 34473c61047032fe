package org.arbutusstack.gateway.agent;

/**
 * Orders a runner to load or unload a model or an adapter.
 *
 * @param load whether to load; otherwise to unload
 * @param model the model
 * @param adapter the adapter of it; empty for the model itself
 * @param expectedSequence the orders that the runner must have accepted before; makes a late copy of the order void
 * @param runnerId the incarnation that is meant
 */
public record RunnerOrder(boolean load, String model, String adapter, long expectedSequence, String runnerId) {

    boolean isForAdapter() {
        return !adapter.isEmpty();
    }
}
