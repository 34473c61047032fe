package org.arbutusstack.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Keys of the content of requests: one for each prompt part that requests share, one for the whole request, and one for
 * the whole answer to it.
 *
 * <p>That an answer begins shows that neither the parts nor the request crash a runner that reads them. Only a complete
 * answer shows that writing it does not either, so that has a key of its own.
 */
public final class ContentKeys {

    private static final String PART_PREFIX = "part:";

    private static final String REQUEST_PREFIX = "request:";

    private static final String ANSWER_PREFIX = "answer:";

    private static final char PREFIX_END = ':';

    private static final int DIGEST_HEX_DIGITS = 32;

    private ContentKeys() {}

    /**
     * Return the keys of prompt parts.
     *
     * @param parts the identifiers of the parts
     * @return their keys
     */
    public static List<String> ofParts(List<String> parts) {
        return parts.stream().map(part -> PART_PREFIX + part).toList();
    }

    /**
     * Return the keys that the beginning of an answer clears.
     *
     * @param parts the identifiers of the parts of its prompt that other requests share
     * @param target the method, the path and the model that it names
     * @param body the bytes of its body
     * @return the keys of the parts and that of the request, which is the same each time that it is repeated
     */
    public static List<String> ofRequest(List<String> parts, String target, byte[] body) {
        List<String> keys = new ArrayList<>(ofParts(parts));
        Digest digest = Digest.of(target.getBytes(StandardCharsets.UTF_8)).chain(Digest.of(body));
        keys.add(REQUEST_PREFIX + digest.hex().substring(0, DIGEST_HEX_DIGITS));
        return List.copyOf(keys);
    }

    /**
     * Return whether a key is that of one request rather than of content that many requests share.
     *
     * @param key the key
     * @return whether only repeats of the request have the key
     */
    public static boolean isOfOneRequest(String key) {
        return key.startsWith(REQUEST_PREFIX) || key.startsWith(ANSWER_PREFIX);
    }

    /**
     * Return what the key of a request and that of the answer to it have in common.
     *
     * @param key the key
     * @return the key without its prefix, if it has one
     */
    static String withoutPrefix(String key) {
        return key.substring(key.indexOf(PREFIX_END) + 1);
    }

    /**
     * Return the key that only a complete answer clears.
     *
     * @param requestKey the key of the whole request
     * @return the key of the answer to it
     */
    public static String ofAnswer(String requestKey) {
        return ANSWER_PREFIX + requestKey.substring(REQUEST_PREFIX.length());
    }
}
