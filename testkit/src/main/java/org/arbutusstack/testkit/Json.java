package org.arbutusstack.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON trees for the stand-ins. Stateless; safe for use by any thread. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Reads a tree.
     *
     * @param json the text in UTF-8
     * @return the tree
     * @throws UncheckedIOException if the text is no JSON
     */
    public static JsonNode read(byte[] json) {
        try {
            return json.length == 0 ? object() : MAPPER.readTree(json);
        } catch (IOException malformed) {
            throw new UncheckedIOException("Could not read JSON", malformed);
        }
    }

    /**
     * Writes a value as JSON.
     *
     * @param value the value
     * @return the text in UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not write JSON", failure);
        }
    }
}
