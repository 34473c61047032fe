package org.arbutusstack.kernel.collect;

import java.util.LinkedHashMap;
import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Map of bounded size that evicts the entry that was used least recently. Not thread-safe.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class RecentlyUsedMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;

    private static final int INITIAL_CAPACITY = 16;

    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    /**
     * Create an empty map.
     *
     * @param maxEntries the maximum number of entries
     */
    public RecentlyUsedMap(int maxEntries) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxEntries = (int) Assert.atLeast(maxEntries, 1, "maxEntries");
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
