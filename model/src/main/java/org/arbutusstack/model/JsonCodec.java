package org.arbutusstack.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/**
 * Writes records as JSON with one fixed order of fields, and reads them strictly.
 *
 * <p>Equal records give equal bytes, so a digest of the bytes names the record. Stateless; safe for use by any thread.
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
     * Writes a record.
     *
     * @param value the record
     * @return its JSON in UTF-8
     * @throws ModelException if the record cannot be written
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new ModelException("Could not write " + value.getClass().getSimpleName() + " as JSON", failure);
        }
    }

    /**
     * Reads a record.
     *
     * @param json the JSON in UTF-8
     * @param type the record's type
     * @param <T> the record's type
     * @return the record
     * @throws ModelException if the text is no JSON, has an unknown field, or breaks a rule of the record
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
