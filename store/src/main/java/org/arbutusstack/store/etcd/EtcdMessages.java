package org.arbutusstack.store.etcd;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.StoreException;

/** Encodes the requests of the JSON gateway of etcd v3 and decodes its responses. */
final class EtcdMessages {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EtcdMessages() {}

    static byte[] range(String key) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("key", encode(key));
        return write(body);
    }

    static byte[] prefixRange(String prefix) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("key", encode(prefix));
        body.put("range_end", encode(prefixEnd(prefix)));
        return write(body);
    }

    static byte[] swap(String key, long expectedRevision, byte[] value, long leaseId) {
        ObjectNode put = MAPPER.createObjectNode();
        put.put("key", encode(key));
        put.put("value", Base64.getEncoder().encodeToString(value));
        if (leaseId != 0) {
            put.put("lease", Long.toString(leaseId));
        }
        return transaction(key, expectedRevision, "requestPut", put);
    }

    static byte[] deletion(String key, long expectedRevision) {
        ObjectNode delete = MAPPER.createObjectNode();
        delete.put("key", encode(key));
        return transaction(key, expectedRevision, "requestDeleteRange", delete);
    }

    private static byte[] transaction(String key, long expectedRevision, String operation, ObjectNode request) {
        ObjectNode body = MAPPER.createObjectNode();
        ObjectNode compare = body.putArray("compare").addObject();
        compare.put("key", encode(key));
        compare.put("target", "MOD");
        compare.put("result", "EQUAL");
        compare.put("mod_revision", Long.toString(expectedRevision));
        body.putArray("success").addObject().set(operation, request);
        return write(body);
    }

    static byte[] leaseGrant(long timeToLiveSeconds) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("TTL", Long.toString(timeToLiveSeconds));
        return write(body);
    }

    static byte[] lease(long leaseId) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("ID", Long.toString(leaseId));
        return write(body);
    }

    static byte[] watch(String prefix, long fromRevision) {
        ObjectNode create = MAPPER.createObjectNode();
        create.put("key", encode(prefix));
        create.put("range_end", encode(prefixEnd(prefix)));
        create.put("start_revision", Long.toString(fromRevision));
        ObjectNode body = MAPPER.createObjectNode();
        body.set("create_request", create);
        return write(body);
    }

    static JsonNode read(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException malformed) {
            throw new StoreException("Could not read an answer of the key-value service", malformed);
        }
    }

    static long revision(JsonNode response) {
        return response.path("header").path("revision").asLong();
    }

    static List<KeyValue> keyValues(JsonNode response) {
        List<KeyValue> keyValues = new ArrayList<>();
        JsonNode list = response.path("kvs");
        if (list instanceof ArrayNode array) {
            array.forEach(node -> keyValues.add(keyValue(node)));
        }
        return List.copyOf(keyValues);
    }

    static KeyValue keyValue(JsonNode node) {
        String key = new String(Base64.getDecoder().decode(node.path("key").asText()), StandardCharsets.UTF_8);
        byte[] value = Base64.getDecoder().decode(node.path("value").asText());
        return new KeyValue(key, value, node.path("mod_revision").asLong());
    }

    private static String prefixEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] write(ObjectNode body) {
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
