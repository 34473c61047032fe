package org.arbutusstack.gateway.quarantine;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.link.Link;

/**
 * Exchange of the strikes that entries find out by themselves, since they are of servers without a side: each entry
 * sends its own to two sides and to the entry that plans, all of which pass them on to all entries.
 *
 * <p>The planner's entry is linked to all others whether or not there are sides, so that the loss of any number of
 * these separates no entries. An entry remembers what it has sent or passed on, and sends it to each entry that plans
 * or connects later. Confined to the entry's event loop.
 *
 * @see RunnerCrashes
 */
public final class StrikeExchange {

    private final BiPredicate<String, StrikeFrame> sides;

    private final Consumer<StrikeFrame> relays;

    private final Predicate<StrikeFrame> quarantine;

    private final StrikeRelay sent;

    /** Links of the other entries, which exist while this entry plans. */
    private final Set<Link> entries = new LinkedHashSet<>();

    /** Link to the entry that plans, or {@code null} if there is none. */
    private Link planner;

    /**
     * Create an exchange without links to other entries.
     *
     * @param sides sends a frame to the side on a host, and returns whether there is an open link to it
     * @param relays sends a frame to the sides that pass it on to all entries
     * @param quarantine applies a frame at this entry, and returns whether that changed anything
     * @param clock the clock of the process
     */
    public StrikeExchange(
            BiPredicate<String, StrikeFrame> sides,
            Consumer<StrikeFrame> relays,
            Predicate<StrikeFrame> quarantine,
            Clock clock) {
        this.sides = Assert.notNull(sides, "sides");
        this.relays = Assert.notNull(relays, "relays");
        this.quarantine = Assert.notNull(quarantine, "quarantine");
        this.sent = new StrikeRelay(clock);
    }

    /**
     * Apply a strike, or the retraction of one, that this entry found out by itself, and tell the other entries.
     *
     * @param frame the frame
     */
    public void found(StrikeFrame frame) {
        quarantine.test(frame);
        tellEntries(frame);
    }

    /**
     * Tell the other entries of a retraction, by way of the side that holds the strikes or, if that is away or there is
     * none, in the way in which strikes without a side are sent.
     *
     * @param host the host of the server whose crash was blamed
     * @param retraction the frame
     */
    public void retract(String host, StrikeFrame retraction) {
        if (!sides.test(host, retraction)) {
            tellEntries(retraction);
        }
    }

    private void tellEntries(StrikeFrame frame) {
        sent.received(frame);
        relays.accept(frame);
        if (planner != null) {
            planner.send(frame);
        }
        passOn(frame, null);
    }

    private void passOn(StrikeFrame frame, Link except) {
        entries.stream().filter(link -> link != except).forEach(link -> link.send(frame));
    }

    /**
     * Called when the link to the entry that plans is open.
     *
     * @param opened the link
     */
    public void plannerConnected(Link opened) {
        planner = opened;
        sent.remembered().forEach(opened::send);
    }

    /**
     * Called when the link to the entry that plans is closed, or another entry plans.
     *
     * @param closed the link
     */
    public void plannerDisconnected(Link closed) {
        planner = planner == closed ? null : planner;
    }

    /**
     * Called with a frame of the entry that plans.
     *
     * @param frame the frame
     */
    public void receivedFromPlanner(StrikeFrame frame) {
        quarantine.test(frame);
    }

    /**
     * Called when another entry has opened a link to this one, since this one plans.
     *
     * @param opened the link
     */
    public void entryConnected(Link opened) {
        entries.add(opened);
        sent.remembered().forEach(opened::send);
    }

    /**
     * Called when the link of another entry is closed.
     *
     * @param closed the link
     */
    public void entryDisconnected(Link closed) {
        entries.remove(closed);
    }

    /**
     * Called with a frame of another entry, which is passed on to the others if it is news here.
     *
     * @param from the link of that entry
     * @param frame the frame
     */
    public void receivedFromEntry(Link from, StrikeFrame frame) {
        boolean isNotSent = sent.received(frame);
        boolean isNotKnown = quarantine.test(frame);
        if (isNotSent || isNotKnown) {
            passOn(frame, from);
        }
    }
}
