package org.arbutusstack.store;

/**
 * A position in the history of a key-value service. Positions of different eras cannot be compared: a service that has
 * come back from an older copy gives its revisions out again, to other changes.
 *
 * @param era the era, as {@link KeyValueStore#era()}
 * @param revision the revision within the era
 */
public record StorePosition(long era, long revision) {}
