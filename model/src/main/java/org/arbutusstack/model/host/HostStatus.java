package org.arbutusstack.model.host;

/** Tells what the host list says of a host. */
public enum HostStatus {
    /** The host takes new work. */
    LIVE,
    /** The host is about to go and takes no new work. */
    LEAVING
}
