package org.arbutusstack.routing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;

/** Keys of the messages that a prompt may have in common with others: all of a request's messages but the last. */
public final class PromptMessages {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String KEY_PREFIX = "message:";

    private static final int DIGEST_HEX_DIGITS = 32;

    /** Limit on the messages of a prompt that are looked at. */
    private static final int MAX_MESSAGES = 64;

    private PromptMessages() {}

    /**
     * Return the keys of the shared messages of a request.
     *
     * @param body the body of a completion request
     * @return the keys in order; empty if the body has at most one message or is no such request
     */
    public static List<String> keysOf(byte[] body) {
        JsonNode messages;
        try {
            messages = MAPPER.readTree(body).path("messages");
        } catch (IOException malformed) {
            return List.of();
        }
        List<String> keys = new ArrayList<>();
        for (int index = 0; index < Math.min(messages.size() - 1, MAX_MESSAGES); index++) {
            String digest = Digest.of(messages.get(index).toString()).hex();
            keys.add(KEY_PREFIX + digest.substring(0, DIGEST_HEX_DIGITS));
        }
        return List.copyOf(keys);
    }

    /**
     * Return whether a key is that of a message.
     *
     * @param key the key of some content
     * @return {@code false} if it is the digest of a whole request
     */
    public static boolean isKey(String key) {
        return key.startsWith(KEY_PREFIX);
    }
}
