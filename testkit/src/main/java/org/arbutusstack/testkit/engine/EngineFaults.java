package org.arbutusstack.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults that an engine stand-in injects. Thread-safe. */
final class EngineFaults {

    private final AtomicInteger ordersToLose = new AtomicInteger();

    private final AtomicInteger orderAnswersToLose = new AtomicInteger();

    private final AtomicInteger ordersToDuplicate = new AtomicInteger();

    private final AtomicInteger ordersToDetach = new AtomicInteger();

    private volatile long lateOrderMillis;

    private volatile long duplicateOrderMillis;

    private volatile String crashMark = "crash-the-engine";

    void configure(JsonNode body) {
        ordersToLose.set(body.path("lose_orders").asInt(ordersToLose.get()));
        orderAnswersToLose.set(body.path("lose_order_answers").asInt(orderAnswersToLose.get()));
        ordersToDuplicate.set(body.path("double_orders").asInt(ordersToDuplicate.get()));
        ordersToDetach.set(body.path("detach_orders").asInt(ordersToDetach.get()));
        duplicateOrderMillis = body.path("doubled_order_millis").asLong(duplicateOrderMillis);
        lateOrderMillis = body.path("late_order_millis").asLong(lateOrderMillis);
        crashMark = body.path("crash_mark").asText(crashMark);
    }

    boolean shouldLoseOrder() {
        return consumeOne(ordersToLose);
    }

    boolean shouldLoseOrderAnswer() {
        return consumeOne(orderAnswersToLose);
    }

    /** Return whether the order is executed a second time later, and consume one such fault. */
    boolean shouldDuplicateOrder() {
        return consumeOne(ordersToDuplicate);
    }

    /**
     * Return whether the connection is closed immediately and the order still executed later, and consume one such
     * fault.
     */
    boolean shouldDetachOrder() {
        return consumeOne(ordersToDetach);
    }

    private static boolean consumeOne(AtomicInteger counter) {
        return counter.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    }

    long duplicateOrderMillis() {
        return duplicateOrderMillis;
    }

    long lateOrderMillis() {
        return lateOrderMillis;
    }

    boolean isCrashPrompt(String prompt) {
        return prompt.contains(crashMark);
    }
}
