package org.arbutusstack.routing;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.arbutusstack.kernel.Assert;

/** Hash of the prefix of a prompt, for routing to an engine that may hold its KV cache. */
public final class PrefixHash {

    private static final int MAX_PREFIX_CHARACTERS = 512;

    private static final int MIN_PROMPT_CHARACTERS = 32;

    private PrefixHash() {}

    /**
     * Return the hash of the first characters of a prompt.
     *
     * @param prompt the text of the prompt
     * @return the hash; zero if the prompt is too short to benefit from a cache
     */
    public static long of(String prompt) {
        Assert.notNull(prompt, "prompt");
        if (prompt.length() < MIN_PROMPT_CHARACTERS) {
            return 0;
        }
        String prefix = prompt.substring(0, Math.min(prompt.length(), MAX_PREFIX_CHARACTERS));
        CRC32C checksum = new CRC32C();
        checksum.update(prefix.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue() + 1;
    }
}
