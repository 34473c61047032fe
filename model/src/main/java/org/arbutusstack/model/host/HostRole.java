package org.arbutusstack.model.host;

/** The role of the process of the system on a host. */
public enum HostRole {
    /** The process receives the requests of callers and operators. */
    ENTRY,
    /** The process runs beside one backend server. */
    SIDE
}
