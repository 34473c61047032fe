package org.arbutusstack.model.host;

import java.util.List;

/**
 * Holds the platform's list of hosts as it was last read; it lags behind the truth.
 *
 * @param hosts the hosts
 */
public record HostList(List<Host> hosts) {

    /** Copies the list. */
    public HostList {
        hosts = hosts == null ? List.of() : List.copyOf(hosts);
    }
}
