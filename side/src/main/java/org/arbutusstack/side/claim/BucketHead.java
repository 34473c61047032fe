package org.arbutusstack.side.claim;

import java.util.List;
import org.arbutusstack.kernel.Assert;

/**
 * Value of a bucket's key: the claims that can still change, and references to the sealed segments.
 *
 * @param writer the incarnation of the side that wrote the value
 * @param segments the sealed segments, oldest first
 * @param records the claims, oldest first
 */
public record BucketHead(String writer, List<SegmentRef> segments, List<ClaimRecord> records) {

    /** The value of a bucket that was never written. */
    public static final BucketHead EMPTY = new BucketHead("", List.of(), List.of());

    /** Create a head with copies of the lists. */
    public BucketHead {
        Assert.notNull(writer, "writer");
        segments = List.copyOf(segments);
        records = List.copyOf(records);
    }
}
