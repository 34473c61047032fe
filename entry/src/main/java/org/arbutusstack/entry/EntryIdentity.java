package org.arbutusstack.entry;

import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.wire.frame.HelloFrame;

/**
 * Tells who an entry is.
 *
 * @param name the host's name
 * @param zone the availability zone
 * @param incarnation the name of this run of the process
 */
public record EntryIdentity(String name, String zone, String incarnation) {

    /**
     * Introduces the entry to peers.
     *
     * @return the frame
     */
    public HelloFrame hello() {
        return new HelloFrame(name, HostRole.ENTRY, "", zone, incarnation);
    }
}
