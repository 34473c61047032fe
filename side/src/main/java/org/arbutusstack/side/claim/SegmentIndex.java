package org.arbutusstack.side.claim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells which sealed segments may hold a claim, from eight bytes for each. To be used by one thread.
 *
 * <p>A segment that is named may not hold the claim, if another one begins with the same 64 bits; one that is not
 * named certainly does not.
 */
final class SegmentIndex {

    private static final int PREFIX_DIGITS = 16;

    private static final int HEX_RADIX = 16;

    private final Map<String, long[]> prefixesBySegment = new HashMap<>();

    void add(String segment, List<ClaimRecord> records) {
        long[] prefixes = records.stream()
                .mapToLong(record -> prefixOf(record.key()))
                .sorted()
                .toArray();
        prefixesBySegment.put(segment, prefixes);
    }

    private static long prefixOf(String key) {
        return Long.parseUnsignedLong(key.substring(0, PREFIX_DIGITS), HEX_RADIX);
    }

    boolean contains(String segment) {
        return prefixesBySegment.containsKey(segment);
    }

    void retain(Set<String> segments) {
        prefixesBySegment.keySet().retainAll(segments);
    }

    /** Names the segments that may hold the claim of a key. */
    List<String> candidates(String key) {
        long prefix = prefixOf(key);
        List<String> candidates = new ArrayList<>();
        prefixesBySegment.forEach((segment, prefixes) -> {
            if (Arrays.binarySearch(prefixes, prefix) >= 0) {
                candidates.add(segment);
            }
        });
        return candidates;
    }
}
