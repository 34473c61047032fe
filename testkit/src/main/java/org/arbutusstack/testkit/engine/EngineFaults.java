package org.arbutusstack.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicInteger;

/** Holds how an engine stand-in misbehaves. Safe for use by any thread. */
final class EngineFaults {

    private final AtomicInteger ordersToLose = new AtomicInteger();

    private final AtomicInteger orderAnswersToLose = new AtomicInteger();

    private volatile long lateOrderMillis;

    private volatile String crashMark = "crash-the-engine";

    void set(JsonNode body) {
        ordersToLose.set(body.path("lose_orders").asInt(ordersToLose.get()));
        orderAnswersToLose.set(body.path("lose_order_answers").asInt(orderAnswersToLose.get()));
        lateOrderMillis = body.path("late_order_millis").asLong(lateOrderMillis);
        crashMark = body.path("crash_mark").asText(crashMark);
    }

    boolean losesOrder() {
        return ordersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }

    boolean losesOrderAnswer() {
        return orderAnswersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }

    long lateOrderMillis() {
        return lateOrderMillis;
    }

    boolean crashes(String prompt) {
        return prompt.contains(crashMark);
    }
}
