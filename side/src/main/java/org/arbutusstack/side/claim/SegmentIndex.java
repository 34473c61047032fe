package org.arbutusstack.side.claim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Index of the sealed segments that may hold a claim, which takes eight bytes for each claim. Not thread-safe.
 *
 * <p>Keys are compared by their first 64 bits: a candidate may lack the claim, but a segment that is no candidate never
 * holds it.
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

    /** Return the segments that may hold the claim of a key. */
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
