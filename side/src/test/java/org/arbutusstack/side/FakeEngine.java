package org.arbutusstack.side;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Carries out orders late, twice or not at all, and keeps an account of its own, in virtual time. */
final class FakeEngine {

    static final long SIZE_MB = 1_000;

    /** The longest that an order is under way to an engine that ignores fencing numbers, in milliseconds. */
    static final long LONGEST_DELAY_MILLIS = 5_000;

    private static final long LONG_DELAY_MILLIS = 60_000;

    private final boolean checksFence;

    private final Random random;

    private final Map<String, Long> residentsMb = new LinkedHashMap<>();

    private final Map<String, Long> readyAtMillis = new LinkedHashMap<>();

    private final List<Copy> copies = new ArrayList<>();

    private long highestFence;

    private long awayUntilMillis;

    private int violations;

    private int faultPercent;

    FakeEngine(boolean checksFence, Random random, int faultPercent) {
        this.checksFence = checksFence;
        this.random = random;
        this.faultPercent = faultPercent;
    }

    /** Takes an order under way; some are lost, late or doubled. Tells when the caller learns of it. */
    List<Answer> send(EngineOrder order, long nowMillis, long timeoutMillis) {
        boolean lost = random.nextInt(100) < faultPercent;
        boolean late = random.nextInt(100) < faultPercent;
        boolean answerLost = random.nextInt(100) < faultPercent;
        boolean doubled = random.nextInt(100) < faultPercent;
        long mostMillis = checksFence ? LONG_DELAY_MILLIS : LONGEST_DELAY_MILLIS;
        long delayMillis = late ? 1 + random.nextInt((int) mostMillis - 1) : random.nextInt(20);
        Answer answer = new Answer(order);
        answer.atMillis = nowMillis + (answerLost && random.nextBoolean() ? random.nextInt(100) : timeoutMillis);
        if (!lost) {
            copies.add(new Copy(order, nowMillis + delayMillis, answerLost ? null : answer));
        }
        if (doubled) {
            long secondMillis = nowMillis + random.nextInt((int) mostMillis);
            copies.add(new Copy(order, secondMillis, answerLost || !lost ? null : answer));
        }
        return List.of(answer);
    }

    void advance(long nowMillis) {
        copies.sort(java.util.Comparator.comparingLong(Copy::arrivesAtMillis));
        while (!copies.isEmpty() && copies.get(0).arrivesAtMillis <= nowMillis) {
            arrive(copies.remove(0));
        }
    }

    private void arrive(Copy copy) {
        if (copy.arrivesAtMillis < awayUntilMillis) {
            answer(copy, copy.arrivesAtMillis, "connection refused");
            return;
        }
        if (checksFence && copy.order.fence() < highestFence) {
            answer(copy, copy.arrivesAtMillis, "status 409: old fencing number");
            return;
        }
        highestFence = checksFence ? copy.order.fence() : 0;
        String key = copy.order.key();
        switch (copy.order.kind()) {
            case LOAD, LOAD_ADAPTER -> {
                long readyMillis = copy.arrivesAtMillis + 50 + random.nextInt(2_000);
                if (residentsMb.putIfAbsent(key, copy.order.memoryMb()) == null) {
                    readyAtMillis.put(key, readyMillis);
                }
                violations += usedMb() > SIZE_MB ? 1 : 0;
                answer(copy, readyMillis, null);
            }
            case UNLOAD, UNLOAD_ADAPTER -> {
                residentsMb.remove(key);
                answer(copy, copy.arrivesAtMillis + 1, null);
            }
            default -> answer(copy, copy.arrivesAtMillis + 1, null);
        }
    }

    private static void answer(Copy copy, long atMillis, String failure) {
        if (copy.answer != null && atMillis < copy.answer.atMillis) {
            copy.answer.atMillis = atMillis;
            copy.answer.failure = failure;
        }
    }

    void crash(long nowMillis) {
        residentsMb.clear();
        awayUntilMillis = nowMillis + 500;
    }

    void quiet() {
        faultPercent = 0;
    }

    boolean answers(long nowMillis) {
        return nowMillis >= awayUntilMillis;
    }

    ObjectNode account(long nowMillis) {
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

    /** Tells when and what the sender of an order learns. */
    static final class Answer {

        final EngineOrder order;

        long atMillis;

        String failure = "time-out";

        Answer(EngineOrder order) {
            this.order = order;
        }
    }

    /** Is one copy of an order under way. */
    private record Copy(EngineOrder order, long arrivesAtMillis, Answer answer) {}
}
