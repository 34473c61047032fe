package org.arbutusstack.model.host;

import org.arbutusstack.kernel.Assert;

/**
 * Describes one host of the host list.
 *
 * @param name the host's name; for a side also the name of its runner
 * @param role what the process there does
 * @param service the service of the backend server beside it; empty for an entry
 * @param region the region
 * @param zone the availability zone
 * @param address the IP number
 * @param linkPort the port where the process takes links
 * @param status what the host list says of it
 */
public record Host(
        String name,
        HostRole role,
        String service,
        String region,
        String zone,
        String address,
        int linkPort,
        HostStatus status) {

    /** Checks the description. */
    public Host {
        Assert.hasText(name, "name");
        Assert.notNull(role, "role");
        Assert.notNull(service, "service");
        Assert.hasText(zone, "zone");
        Assert.hasText(address, "address");
        Assert.notNull(status, "status");
    }
}
