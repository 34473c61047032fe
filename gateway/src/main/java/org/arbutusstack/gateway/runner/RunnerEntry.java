package org.arbutusstack.gateway.runner;

import java.util.Map;
import java.util.Set;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;

/**
 * Directory entry of one incarnation of a runner, as the runner registered itself.
 *
 * @param id the identifier of the incarnation
 * @param service the name of the service that it runs
 * @param address the address on which it accepts requests
 * @param zone its availability zone
 * @param startedAtMillis when it started, in Unix milliseconds
 * @param slots the number of requests that it runs concurrently; zero or less if it does not say
 * @param leaving whether it is draining and accepts no new requests
 * @param adaptersByModel the models that it holds, with the adapters of each
 * @param softwareVersion the version of its software; empty if it does not say
 */
public record RunnerEntry(
        String id,
        String service,
        HttpTarget address,
        String zone,
        long startedAtMillis,
        int slots,
        boolean leaving,
        Map<String, Set<String>> adaptersByModel,
        String softwareVersion) {

    /** Check the required fields and copy the map. */
    public RunnerEntry {
        Assert.hasText(id, "id");
        Assert.hasText(service, "service");
        Assert.notNull(address, "address");
        Assert.notNull(softwareVersion, "softwareVersion");
        adaptersByModel = Map.copyOf(adaptersByModel);
    }

    /** Create an entry that does not name the version of its software. */
    public RunnerEntry(
            String id,
            String service,
            HttpTarget address,
            String zone,
            long startedAtMillis,
            int slots,
            boolean leaving,
            Map<String, Set<String>> adaptersByModel) {
        this(id, service, address, zone, startedAtMillis, slots, leaving, adaptersByModel, "");
    }

    /**
     * Return whether another entry describes the same incarnation.
     *
     * @param other the other entry
     * @return whether identifier, start time and address are equal
     */
    public boolean isSameIncarnation(RunnerEntry other) {
        return id.equals(other.id) && startedAtMillis == other.startedAtMillis && address.equals(other.address);
    }

    /**
     * Return the text that identifies this incarnation in the frames of all processes.
     *
     * @return identifier and start time
     */
    public String incarnation() {
        return id + '@' + startedAtMillis;
    }

    /**
     * Return the key that identifies an adapter across models.
     *
     * @param model the name of the model
     * @param adapter the name of the adapter; empty for none
     * @return model and adapter joined by a slash; empty if there is no adapter
     */
    public static String adapterKey(String model, String adapter) {
        return adapter.isEmpty() ? "" : model + '/' + adapter;
    }
}
