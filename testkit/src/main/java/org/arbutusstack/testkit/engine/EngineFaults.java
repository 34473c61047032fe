package org.arbutusstack.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicInteger;

/** Holds how an engine stand-in misbehaves. Safe for use by any thread. */
final class EngineFaults {

    private final AtomicInteger ordersToLose = new AtomicInteger();

    private final AtomicInteger orderAnswersToLose = new AtomicInteger();

    private final AtomicInteger ordersToDouble = new AtomicInteger();

    private final AtomicInteger ordersToDetach = new AtomicInteger();

    private volatile long lateOrderMillis;

    private volatile long doubledOrderMillis;

    private volatile String crashMark = "crash-the-engine";

    void set(JsonNode body) {
        ordersToLose.set(body.path("lose_orders").asInt(ordersToLose.get()));
        orderAnswersToLose.set(body.path("lose_order_answers").asInt(orderAnswersToLose.get()));
        ordersToDouble.set(body.path("double_orders").asInt(ordersToDouble.get()));
        ordersToDetach.set(body.path("detach_orders").asInt(ordersToDetach.get()));
        doubledOrderMillis = body.path("doubled_order_millis").asLong(doubledOrderMillis);
        lateOrderMillis = body.path("late_order_millis").asLong(lateOrderMillis);
        crashMark = body.path("crash_mark").asText(crashMark);
    }

    boolean losesOrder() {
        return takeOne(ordersToLose);
    }

    boolean losesOrderAnswer() {
        return takeOne(orderAnswersToLose);
    }

    /** Tells whether the order is carried out a second time later. */
    boolean doublesOrder() {
        return takeOne(ordersToDouble);
    }

    /** Tells whether the connection is closed at once and the order carried out late all the same. */
    boolean detachesOrder() {
        return takeOne(ordersToDetach);
    }

    private static boolean takeOne(AtomicInteger count) {
        return count.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    long doubledOrderMillis() {
        return doubledOrderMillis;
    }

    long lateOrderMillis() {
        return lateOrderMillis;
    }

    boolean crashes(String prompt) {
        return prompt.contains(crashMark);
    }
}
