package org.arbutusstack.model.host;

/** The status of a host in the host list. */
public enum HostStatus {
    /** The host accepts new work. */
    LIVE,
    /** The host is about to be removed and accepts no new work. */
    LEAVING
}
