package org.arbutusstack.model.host;

import java.util.List;

/**
 * The list of hosts of the platform, as last read; it lags behind the actual state of the hosts.
 *
 * @param hosts the hosts
 */
public record HostList(List<Host> hosts) {

    /** Make a defensive copy of the list; a missing list is empty. */
    public HostList {
        hosts = hosts == null ? List.of() : List.copyOf(hosts);
    }
}
