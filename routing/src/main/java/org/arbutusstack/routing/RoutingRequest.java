package org.arbutusstack.routing;

/**
 * Describes what a request needs of a runner.
 *
 * @param service the service
 * @param modelKey the model as name and version joined by an at sign; empty for a plain service
 * @param adapterKey the adapter as name and version joined by an at sign; empty for none
 */
public record RoutingRequest(String service, String modelKey, String adapterKey) {

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
