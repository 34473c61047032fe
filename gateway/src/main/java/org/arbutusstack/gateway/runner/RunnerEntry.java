package org.arbutusstack.gateway.runner;

import java.util.Map;
import java.util.Set;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;

/**
 * Describes one incarnation of a runner as it registered itself.
 *
 * @param id the identifier of the incarnation
 * @param service the service
 * @param address where it listens
 * @param zone its availability zone
 * @param startedAtMillis when it started, in Unix milliseconds
 * @param slots the requests that run at once
 * @param leaving whether it takes no new work
 * @param adaptersByModel the models that it holds, with the adapters of each
 */
public record RunnerEntry(
        String id,
        String service,
        HttpTarget address,
        String zone,
        long startedAtMillis,
        int slots,
        boolean leaving,
        Map<String, Set<String>> adaptersByModel) {

    /** Copies the map. */
    public RunnerEntry {
        Assert.hasText(id, "id");
        Assert.hasText(service, "service");
        Assert.notNull(address, "address");
        adaptersByModel = Map.copyOf(adaptersByModel);
    }

    /**
     * Tells whether another entry is of the same incarnation.
     *
     * @param other the other entry
     * @return whether it is
     */
    public boolean isSameIncarnation(RunnerEntry other) {
        return id.equals(other.id) && startedAtMillis == other.startedAtMillis && address.equals(other.address);
    }
}
