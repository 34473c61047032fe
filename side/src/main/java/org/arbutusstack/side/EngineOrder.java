package org.arbutusstack.side;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/**
 * Describes an order to the engine.
 *
 * @param kind what is ordered
 * @param key what it is ordered for: name and version joined by an at sign
 * @param memoryMb the memory that it takes, in mebibytes
 * @param fence the fencing number
 */
record EngineOrder(OrderKind kind, String key, long memoryMb, long fence) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    byte[] json() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("order", kind.label());
        node.put("key", key);
        node.put("memory_mb", memoryMb);
        node.put("fence", fence);
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}
