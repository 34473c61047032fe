package org.arbutusstack.model.host;

/** Tells what a process of the system does on its host. */
public enum HostRole {
    /** Receives callers' and operators' requests. */
    ENTRY,
    /** Stands beside one backend server. */
    SIDE
}
