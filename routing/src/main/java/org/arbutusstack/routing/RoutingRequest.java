package org.arbutusstack.routing;

/**
 * Describes what a request needs of a runner.
 *
 * @param service the service
 * @param modelKey the model as name and version joined by an at sign; empty for a plain service
 * @param adapterKey the adapter as name and version joined by an at sign; empty for none
 * @param prefixHash the hash of the prompt's beginning; zero for none
 */
public record RoutingRequest(String service, String modelKey, String adapterKey, long prefixHash) {

    /**
     * Describes a request without a prefix.
     *
     * @param service the service
     * @param modelKey the model; empty for a plain service
     * @param adapterKey the adapter; empty for none
     */
    public RoutingRequest(String service, String modelKey, String adapterKey) {
        this(service, modelKey, adapterKey, 0);
    }

    /**
     * Tells whether a runner holds the adapter.
     *
     * @param runner the runner
     * @return whether an adapter is asked for and held
     */
    public boolean hasAdapterOn(RunnerView runner) {
        return !adapterKey.isEmpty() && runner.adapters().contains(adapterKey);
    }

    /**
     * Tells whether a runner can serve the request.
     *
     * @param runner the runner
     * @return whether it holds the model
     */
    public boolean isServedBy(RunnerView runner) {
        return runner.service().equals(service)
                && (modelKey.isEmpty() || runner.models().contains(modelKey));
    }
}
