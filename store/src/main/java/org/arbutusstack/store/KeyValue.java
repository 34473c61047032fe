package org.arbutusstack.store;

import java.nio.charset.StandardCharsets;

/**
 * Holds a key with its value as it was read.
 *
 * @param key the key
 * @param value the value, empty if the key is absent; not copied
 * @param revision the revision of its last change, zero if the key is absent
 */
public record KeyValue(String key, byte[] value, long revision) {

    /**
     * Describes a key that does not exist.
     *
     * @param key the key
     * @return the absent key
     */
    public static KeyValue absent(String key) {
        return new KeyValue(key, new byte[0], 0);
    }

    /**
     * Tells whether the key exists.
     *
     * @return whether it does
     */
    public boolean exists() {
        return revision > 0;
    }

    /**
     * Reads the value as text.
     *
     * @return the value in UTF-8
     */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
