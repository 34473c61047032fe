package org.arbutusstack.routing;

import java.util.Set;

/**
 * Describes a runner as an entry sees it.
 *
 * @param name the runner's name
 * @param service the service that it belongs to
 * @param zone its availability zone
 * @param models the models that it reports ready, each as name and version joined by an at sign
 * @param adapters the adapters that it reports ready
 * @param reported the requests that it is reckoned to have: its last report, corrected by what this entry sent since
 * @param outstanding the requests that this entry has sent it and that have not ended
 */
public record RunnerView(
        String name,
        String service,
        String zone,
        Set<String> models,
        Set<String> adapters,
        int reported,
        int outstanding) {

    /** Copies the sets. */
    public RunnerView {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /**
     * Tells the work known.
     *
     * @return the requests that wait or run there
     */
    public int load() {
        return Math.max(reported, outstanding);
    }
}
