package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Map;
import java.util.stream.Collectors;
import org.arbutusstack.model.ticket.WeightsKey;

/**
 * Requirements of a request on a runner.
 *
 * @param service the name of the service
 * @param modelKey the model as name and version joined by an at sign; empty for a plain service
 * @param adapterKey the adapter as name and version joined by an at sign; empty for none
 * @param prefixHash the hash of the first characters of the prompt, see {@link PrefixHash}; zero for none
 */
public record RoutingRequest(String service, String modelKey, String adapterKey, long prefixHash) {

    /**
     * Create a request without a prefix.
     *
     * @param service the name of the service
     * @param modelKey the model as name and version joined by an at sign; empty for a plain service
     * @param adapterKey the adapter as name and version joined by an at sign; empty for none
     */
    public RoutingRequest(String service, String modelKey, String adapterKey) {
        this(service, modelKey, adapterKey, 0);
    }

    /**
     * Return whether a runner holds the requested adapter.
     *
     * @param runner the runner
     * @return {@code true} if an adapter is requested and the runner holds it
     */
    public boolean hasAdapterOn(RunnerView runner) {
        return !adapterKey.isEmpty() && runner.adapters().contains(adapterKey);
    }

    /**
     * Return whether a runner can serve the request.
     *
     * @param runner the runner
     * @return {@code true} if it belongs to the service and holds the model, if one is requested
     */
    public boolean isServedBy(RunnerView runner) {
        return runner.service().equals(service)
                && (modelKey.isEmpty() || runner.models().contains(modelKey));
    }

    /**
     * Return a request for a version of the model that a runner holds: the requested version, or the one that most
     * runners hold as long as no runner holds the requested one.
     *
     * @param runners the runners that accept new work
     * @return the request for that version; this request if no runner holds the model
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
     * Return a request for another version of the model.
     *
     * @param version the version of the model
     * @return the request for that version
     */
    public RoutingRequest withVersion(String version) {
        String name = WeightsKey.parse(modelKey).name();
        return new RoutingRequest(service, new WeightsKey(name, version).toString(), adapterKey, prefixHash);
    }
}
