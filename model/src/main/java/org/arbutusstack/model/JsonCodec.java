package org.arbutusstack.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/**
 * Encodes records as JSON with a fixed order of fields, and decodes them strictly.
 *
 * <p>Equal records are encoded as equal bytes, so that the digest of the bytes identifies the record. Stateless and
 * thread-safe.
 */
public final class JsonCodec {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    private JsonCodec() {}

    /**
     * Encode a record as JSON.
     *
     * @param value the record
     * @return its JSON in UTF-8
     * @throws ModelException if the record cannot be encoded
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new ModelException("Could not write " + value.getClass().getSimpleName() + " as JSON", failure);
        }
    }

    /**
     * Decode a record from JSON.
     *
     * @param json the JSON in UTF-8
     * @param type the class of the record
     * @param <T> the type of the record
     * @return the decoded record
     * @throws ModelException if the JSON is malformed, has an unknown field, or violates a constraint of the record
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (JsonProcessingException malformed) {
            String reason = malformed.getOriginalMessage();
            throw new ModelException("Could not read " + type.getSimpleName() + ": " + reason, malformed);
        } catch (IOException failure) {
            throw new ModelException("Could not read " + type.getSimpleName(), failure);
        }
    }
}
