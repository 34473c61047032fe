package org.arbutusstack.routing;

import java.util.Set;

/**
 * Snapshot of a runner as an entry knows it.
 *
 * @param name the runner's name
 * @param service the service that it belongs to
 * @param zone its availability zone
 * @param models the models that it reports ready, each as name and version joined by an at sign
 * @param adapters the adapters that it reports ready, each as name and version joined by an at sign
 * @param reported the estimated number of its requests: its last report, corrected by the requests that this entry has
 *     sent since
 * @param outstanding the number of requests that this entry has sent to it and that have not ended
 */
public record RunnerView(
        String name,
        String service,
        String zone,
        Set<String> models,
        Set<String> adapters,
        int reported,
        int outstanding) {

    /** Copy the sets defensively. */
    public RunnerView {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /**
     * Return the known load.
     *
     * @return the number of requests that wait or run there
     */
    public int load() {
        return Math.max(reported, outstanding);
    }
}
