package org.arbutusstack.store;

/**
 * A position in the history of a key-value service. Positions of different eras cannot be compared by their revisions:
 * a service that has come back from an older copy gives its revisions out again, to other changes.
 *
 * @param era the era, as {@link KeyValueStore#era()}
 * @param revision the revision within the era
 */
public record StorePosition(long era, long revision) {

    /** A service that makes 10,000 changes a second needs three years for this many revisions. */
    private static final int REVISION_BITS = 40;

    /**
     * Return the position as a fencing token.
     *
     * @return a number that is higher for each later revision and for each revision of a later era
     */
    public long fencingToken() {
        return (era << REVISION_BITS) + revision;
    }
}
