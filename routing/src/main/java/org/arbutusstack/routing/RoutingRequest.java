package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Map;
import java.util.stream.Collectors;
import org.arbutusstack.model.ticket.WeightsKey;

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

    /**
     * Asks for a version of the model that a runner holds: the one asked for, or, while no runner holds that one yet,
     * the one that most runners hold.
     *
     * @param runners the runners that take new work
     * @return the request for that version; this one if no runner holds the model
     */
    public RoutingRequest withAvailableVersion(Collection<RunnerView> runners) {
        if (modelKey.isEmpty() || runners.stream().anyMatch(this::isServedBy)) {
            return this;
        }
        String name = WeightsKey.parse(modelKey).name();
        Map<String, Long> holders = runners.stream()
                .filter(runner -> runner.service().equals(service))
                .flatMap(runner -> runner.models().stream())
                .filter(key -> WeightsKey.parse(key).name().equals(name))
                .collect(Collectors.groupingBy(key -> key, Collectors.counting()));
        return holders.entrySet().stream()
                .max(Map.Entry.<String, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(held -> new RoutingRequest(service, held.getKey(), adapterKey, prefixHash))
                .orElse(this);
    }

    /**
     * Asks for a certain version of the model.
     *
     * @param version the version
     * @return the request for that version
     */
    public RoutingRequest withVersion(String version) {
        String name = WeightsKey.parse(modelKey).name();
        return new RoutingRequest(service, new WeightsKey(name, version).toString(), adapterKey, prefixHash);
    }
}
