package org.arbutusstack.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Utility to read and write JSON trees. Stateless and thread-safe. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Create an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Read a tree. An empty text is read as an empty object.
     *
     * @param json the JSON text in UTF-8
     * @return the tree
     * @throws UncheckedIOException if the text is not valid JSON
     */
    public static JsonNode read(byte[] json) {
        try {
            return json.length == 0 ? object() : MAPPER.readTree(json);
        } catch (IOException malformed) {
            throw new UncheckedIOException("Could not read JSON", malformed);
        }
    }

    /**
     * Write a value as JSON.
     *
     * @param value the value or tree
     * @return the JSON text in UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not write JSON", failure);
        }
    }
}
