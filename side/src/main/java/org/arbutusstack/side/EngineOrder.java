package org.arbutusstack.side;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/**
 * Order to the engine.
 *
 * @param kind what the engine is to do
 * @param key the name and version of the model or adapter, joined by an at sign; empty for a role order
 * @param memoryMb the memory to commit, in mebibytes; zero for an order that takes none
 * @param fence the fencing token
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
