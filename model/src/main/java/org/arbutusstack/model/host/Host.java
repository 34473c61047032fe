package org.arbutusstack.model.host;

import org.arbutusstack.kernel.Assert;

/**
 * A host in the host list.
 *
 * @param name the name of the host; for a side also the name of its runner
 * @param role the role of the process on the host
 * @param service the name of the service of the backend server; empty for an entry
 * @param region the region of the host
 * @param zone the availability zone of the host
 * @param address the IP address
 * @param linkPort the port on which the process accepts links
 * @param status the status of the host
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

    /** Create a host; role, service and status must not be {@code null}, and name, zone and address must have text. */
    public Host {
        Assert.hasText(name, "name");
        Assert.notNull(role, "role");
        Assert.notNull(service, "service");
        Assert.hasText(zone, "zone");
        Assert.hasText(address, "address");
        Assert.notNull(status, "status");
    }
}
