package org.arbutusstack.gateway.allotment;

import java.util.Optional;
import java.util.function.Predicate;
import org.arbutusstack.wire.frame.Frame;

/** Strategy interface for the links of an entry to the sides that may keep pools. */
public interface KeeperLinks {

    /**
     * Find the side that all entries choose for a key as long as they are linked to the same sides.
     *
     * @param key the key
     * @param usable whether the side on a host may be chosen
     * @return the host of the first usable side in rank with an open link; empty if there is none
     */
    Optional<String> firstInRank(String key, Predicate<String> usable);

    /**
     * Return whether there is an open link to the side on a host.
     *
     * @param host the address of the host
     * @return whether frames can be sent to it
     */
    boolean isOpen(String host);

    /**
     * Send a frame to the side on a host.
     *
     * @param host the address of the host
     * @param frame the frame
     * @return {@code false} if no side is known on the host
     */
    boolean send(String host, Frame frame);
}
