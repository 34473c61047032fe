package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.arbutusstack.placement.EngineMemoryReport;

/** Parser of the memory report that is part of an engine's load response. */
final class EngineMemoryReportParser {

    private EngineMemoryReportParser() {}

    static EngineMemoryReport parse(JsonNode load, long requestedAtNanos) {
        Map<String, EngineMemoryReport.Resident> residents = new HashMap<>();
        load.path("models").forEach(item -> residents.put(item.path("key").asText(), resident(item, false)));
        load.path("adapters").forEach(item -> residents.put(item.path("key").asText(), resident(item, true)));
        long sizeMb = load.path("memory_mb").asLong();
        return new EngineMemoryReport(
                requestedAtNanos, sizeMb, load.path("fence").asLong(), residents);
    }

    private static EngineMemoryReport.Resident resident(JsonNode item, boolean adapter) {
        return new EngineMemoryReport.Resident(
                item.path("memory_mb").asLong(), item.path("ready").asBoolean(), adapter);
    }
}
