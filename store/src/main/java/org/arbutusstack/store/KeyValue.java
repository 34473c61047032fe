package org.arbutusstack.store;

import java.nio.charset.StandardCharsets;

/**
 * A key and its value, as they were read.
 *
 * @param key the key
 * @param value the value, empty if the key is absent; not copied
 * @param revision the revision of its last change, zero if the key is absent
 */
public record KeyValue(String key, byte[] value, long revision) {

    /**
     * Create the result of reading a key that does not exist.
     *
     * @param key the key
     * @return an empty value with revision zero
     */
    public static KeyValue absent(String key) {
        return new KeyValue(key, new byte[0], 0);
    }

    /**
     * Return whether the key exists.
     *
     * @return {@code false} for a key that is absent or was deleted
     */
    public boolean exists() {
        return revision > 0;
    }

    /**
     * Return the value as text.
     *
     * @return the value decoded as UTF-8
     */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
