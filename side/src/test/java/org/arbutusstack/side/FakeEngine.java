package org.arbutusstack.side;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Engine in virtual time that carries out orders late, twice or not at all, and reports its memory. */
final class FakeEngine {

    static final long SIZE_MB = 1_000;

    /** The longest time that an order is in flight to an engine that ignores fencing tokens, in milliseconds. */
    static final long MAX_DELAY_MILLIS = 5_000;

    private static final long MAX_FENCED_DELAY_MILLIS = 60_000;

    private final boolean checksFence;

    private final Random random;

    private final Map<String, Long> residentsMb = new LinkedHashMap<>();

    private final Map<String, Long> readyAtMillis = new LinkedHashMap<>();

    private final List<Delivery> deliveries = new ArrayList<>();

    private long highestFence;

    private long unavailableUntilMillis;

    private int violations;

    private int faultPercent;

    FakeEngine(boolean checksFence, Random random, int faultPercent) {
        this.checksFence = checksFence;
        this.random = random;
        this.faultPercent = faultPercent;
    }

    /**
     * Send an order, which may be lost, late or duplicated.
     *
     * @return when and with which result the sender is answered
     */
    List<Answer> send(EngineOrder order, long nowMillis, long timeoutMillis) {
        boolean lost = random.nextInt(100) < faultPercent;
        boolean late = random.nextInt(100) < faultPercent;
        boolean answerLost = random.nextInt(100) < faultPercent;
        boolean duplicated = random.nextInt(100) < faultPercent;
        long maxMillis = checksFence ? MAX_FENCED_DELAY_MILLIS : MAX_DELAY_MILLIS;
        long delayMillis = late ? 1 + random.nextInt((int) maxMillis - 1) : random.nextInt(20);
        Answer answer = new Answer(order);
        answer.atMillis = nowMillis + (answerLost && random.nextBoolean() ? random.nextInt(100) : timeoutMillis);
        if (!lost) {
            deliveries.add(new Delivery(order, nowMillis + delayMillis, answerLost ? null : answer));
        }
        if (duplicated) {
            long secondMillis = nowMillis + random.nextInt((int) maxMillis);
            deliveries.add(new Delivery(order, secondMillis, answerLost || !lost ? null : answer));
        }
        return List.of(answer);
    }

    void advance(long nowMillis) {
        deliveries.sort(java.util.Comparator.comparingLong(Delivery::arrivesAtMillis));
        while (!deliveries.isEmpty() && deliveries.get(0).arrivesAtMillis <= nowMillis) {
            deliver(deliveries.remove(0));
        }
    }

    private void deliver(Delivery delivery) {
        if (delivery.arrivesAtMillis < unavailableUntilMillis) {
            answer(delivery, delivery.arrivesAtMillis, "connection refused");
            return;
        }
        if (checksFence && delivery.order.fence() < highestFence) {
            answer(delivery, delivery.arrivesAtMillis, "status 409: old fencing number");
            return;
        }
        highestFence = checksFence ? delivery.order.fence() : 0;
        String key = delivery.order.key();
        switch (delivery.order.kind()) {
            case LOAD, LOAD_ADAPTER -> {
                long readyMillis = delivery.arrivesAtMillis + 50 + random.nextInt(2_000);
                if (residentsMb.putIfAbsent(key, delivery.order.memoryMb()) == null) {
                    readyAtMillis.put(key, readyMillis);
                }
                violations += usedMb() > SIZE_MB ? 1 : 0;
                answer(delivery, readyMillis, null);
            }
            case UNLOAD, UNLOAD_ADAPTER -> {
                residentsMb.remove(key);
                answer(delivery, delivery.arrivesAtMillis + 1, null);
            }
            default -> answer(delivery, delivery.arrivesAtMillis + 1, null);
        }
    }

    private static void answer(Delivery delivery, long atMillis, String failure) {
        if (delivery.answer != null && atMillis < delivery.answer.atMillis) {
            delivery.answer.atMillis = atMillis;
            delivery.answer.failure = failure;
        }
    }

    void crash(long nowMillis) {
        residentsMb.clear();
        unavailableUntilMillis = nowMillis + 500;
    }

    void stopFaults() {
        faultPercent = 0;
    }

    boolean isAvailable(long nowMillis) {
        return nowMillis >= unavailableUntilMillis;
    }

    ObjectNode memoryReport(long nowMillis) {
        ObjectNode node = new ObjectMapper().createObjectNode();
        node.put("memory_mb", SIZE_MB);
        node.put("fence", highestFence);
        ArrayNode models = node.putArray("models");
        ArrayNode adapters = node.putArray("adapters");
        residentsMb.forEach((key, memoryMb) -> {
            ObjectNode item = (key.startsWith("adapter") ? adapters : models).addObject();
            item.put("key", key);
            item.put("memory_mb", memoryMb);
            item.put("ready", readyAtMillis.get(key) <= nowMillis);
        });
        return node;
    }

    long usedMb() {
        return residentsMb.values().stream().mapToLong(Long::longValue).sum();
    }

    int violations() {
        return violations;
    }

    Map<String, Long> residentsMb() {
        return residentsMb;
    }

    /** When and with which result the sender of an order is answered; a timeout unless it is answered earlier. */
    static final class Answer {

        final EngineOrder order;

        long atMillis;

        String failure = "time-out";

        Answer(EngineOrder order) {
            this.order = order;
        }
    }

    /** Copy of an order in flight. */
    private record Delivery(EngineOrder order, long arrivesAtMillis, Answer answer) {}
}
