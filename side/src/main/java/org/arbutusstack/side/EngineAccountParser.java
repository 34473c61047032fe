package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.arbutusstack.placement.EngineAccount;

/** Parser of the memory account in an engine's load report. */
final class EngineAccountParser {

    private EngineAccountParser() {}

    static EngineAccount parse(JsonNode load, long requestedAtNanos) {
        Map<String, EngineAccount.Resident> residents = new HashMap<>();
        load.path("models").forEach(item -> residents.put(item.path("key").asText(), resident(item, false)));
        load.path("adapters").forEach(item -> residents.put(item.path("key").asText(), resident(item, true)));
        long sizeMb = load.path("memory_mb").asLong();
        return new EngineAccount(requestedAtNanos, sizeMb, load.path("fence").asLong(), residents);
    }

    private static EngineAccount.Resident resident(JsonNode item, boolean adapter) {
        return new EngineAccount.Resident(
                item.path("memory_mb").asLong(), item.path("ready").asBoolean(), adapter);
    }
}
