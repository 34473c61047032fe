package org.arbutusstack.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Batches requests continuously: each step gives every running request one token. Safe for use by any thread. */
final class EngineBatch {

    private static final long MICROS_PER_MILLI = 1_000;

    private final EngineShape shape;

    private final PriorityQueue<Generation> waiting = new PriorityQueue<>(Comparator.comparingInt(Generation::urgency));

    private final List<Generation> running = new ArrayList<>();

    private final Map<String, Boolean> prefixes;

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    private final ScheduledExecutorService steps = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "engine-step");
        thread.setDaemon(true);
        return thread;
    });

    EngineBatch(EngineShape shape) {
        this.shape = shape;
        this.prefixes = new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > shape.prefixCacheEntries();
            }
        };
        steps.schedule(this::step, shape.stepMillis(), TimeUnit.MILLISECONDS);
    }

    synchronized void add(Generation generation) {
        waiting.add(generation);
    }

    synchronized void cancel(String requestId) {
        waiting.removeIf(generation -> generation.requestId().equals(requestId));
        running.removeIf(generation -> generation.requestId().equals(requestId));
    }

    synchronized void crash() {
        waiting.forEach(Generation::abort);
        running.forEach(Generation::abort);
        waiting.clear();
        running.clear();
        prefixes.clear();
    }

    private void step() {
        long micros;
        synchronized (this) {
            admit();
            Iterator<Generation> each = running.iterator();
            while (each.hasNext()) {
                Generation generation = each.next();
                if (generation.isAbandoned() || generation.step(shape.prefillTokensPerStep())) {
                    each.remove();
                }
            }
            micros = shape.stepMillis() * MICROS_PER_MILLI + running.size() * shape.stepMicrosPerRequest();
        }
        if (!steps.isShutdown()) {
            steps.schedule(this::step, micros, TimeUnit.MICROSECONDS);
        }
    }

    private void admit() {
        while (running.size() < shape.slots() && !waiting.isEmpty()) {
            Generation next = waiting.poll();
            if (next.isAbandoned()) {
                continue;
            }
            if (prefixes.put(next.prompt(), true) != null) {
                next.prefillCached();
            }
            executions
                    .computeIfAbsent(next.requestId(), id -> new AtomicInteger())
                    .incrementAndGet();
            next.open();
            running.add(next);
        }
    }

    synchronized void describe(ObjectNode node) {
        node.put("queued", waiting.size());
        node.put("running", running.size());
        node.put("slots", shape.slots());
    }

    Map<String, AtomicInteger> executions() {
        return executions;
    }

    void stop() {
        steps.shutdownNow();
    }
}
