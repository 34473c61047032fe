package org.arbutusstack.side.claim;

/**
 * Reference to a sealed segment of a bucket.
 *
 * @param name the last part of the segment's key
 * @param sealedWallMillis when the segment was sealed, in milliseconds since the epoch
 */
public record SegmentRef(String name, long sealedWallMillis) {}
