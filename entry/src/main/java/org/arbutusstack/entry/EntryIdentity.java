package org.arbutusstack.entry;

import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.wire.frame.HelloFrame;

/**
 * Identity of an entry.
 *
 * @param name the name of the host
 * @param zone the availability zone of the host
 * @param incarnation the incarnation of the process, unique to each of its runs
 */
public record EntryIdentity(String name, String zone, String incarnation) {

    /**
     * Return the frame that identifies this entry to peers.
     *
     * @return the frame
     */
    public HelloFrame hello() {
        return new HelloFrame(name, HostRole.ENTRY, "", zone, incarnation);
    }
}
