package review;

import java.util.List;
import java.util.Map;

/** The configuration of the cases: the routes and services of Stubble & Stud with fewer models and runners. */
final class Configs {
    private Configs() {}

    static final long MAX_BODY_BYTES = 4_194_304;

    private static Map<String, Object> route(String name, String kind, String service, long timeoutMillis,
            long targetMillis, long attempts, long priority, boolean resumable) {
        Map<String, Object> route = Deployment.map(
                "name", name, "host", Deployment.HOST, "path-prefix", "/" + name + "/", "kind", kind, "service",
                service, "timeout-ms", timeoutMillis, "target-latency-ms", targetMillis, "priority", priority,
                "max-attempts", attempts);
        if (kind.equals("streaming")) {
            route.put("target-gap-ms", 250L);
            route.put("sticky", true);
            route.put("resumable", resumable);
        }
        return route;
    }

    static String stubbleStud() {
        Map<String, Object> engine = Deployment.map(
                "slots", 64L, "kv-capacity", 147_322L, "weights-mb", 230_000L, "adapter-slots", 8L, "loads-per-s",
                1.8, "models", List.of(Deployment.map("name", "m0", "weights-mb", 65_100L, "load-s", 2.2, "disk-s",
                        1.4, "warm-s", 1.1, "adapters", 0L, "adapter-mb", 12L)));
        return Json.write(Deployment.map(
                "version", 7L,
                "routes", List.of(
                        route("design-chat", "streaming", "stitch-lm", 15_000, 500, 1, 1, false),
                        route("squad-batch", "streaming", "stitch-lm", 20_000, 2_000, 2, 1, true),
                        route("place-order", "unsafe", "orderdesk", 4_000, 300, 1, 2, false),
                        route("order-status", "safe", "orderdesk", 4_000, 300, 2, 2, false)),
                "services", List.of(
                        Deployment.map("name", "stitch-lm", "health-path", "/health", "max-connections", 360L,
                                "engine", engine),
                        Deployment.map("name", "orderdesk", "health-path", "/health", "max-connections", 100L)),
                "limits", Deployment.map("max-header-bytes", 16_384L, "max-body-bytes", MAX_BODY_BYTES,
                        "header-timeout-ms", 5_000L, "idle-timeout-ms", 60_000L)));
    }

    /** The headers of a request to a model. */
    static Map<String, String> modelHeaders(String id, long deadlineMillis) {
        return Map.of("Request-Id", id, "Request-Deadline", Long.toString(deadlineMillis), "Model", "m0",
                "Token-Count", "1460,80", "Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e" + id + ":250");
    }

    static Map<String, String> plainHeaders(String id, long deadlineMillis) {
        return Map.of("Request-Id", id, "Request-Deadline", Long.toString(deadlineMillis));
    }
}
