package org.arbutusstack.routing;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.arbutusstack.kernel.Assert;

/** Hashes the beginning of a prompt, whose KV cache an engine may hold. */
public final class PrefixHash {

    private static final int PREFIX_CHARACTERS = 512;

    private static final int LEAST_CHARACTERS = 32;

    private PrefixHash() {}

    /**
     * Hashes the beginning of a prompt.
     *
     * @param prompt the prompt
     * @return the hash; zero if the prompt is too short for a cache to matter
     */
    public static long of(String prompt) {
        Assert.notNull(prompt, "prompt");
        if (prompt.length() < LEAST_CHARACTERS) {
            return 0;
        }
        String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS));
        CRC32C checksum = new CRC32C();
        checksum.update(prefix.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue() + 1;
    }
}
