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

/** Continuous batching of requests: each step generates one token for every running request. Thread-safe. */
final class EngineBatch {

    private static final long MICROS_PER_MILLI = 1_000;

    private final EngineShape shape;

    private final PriorityQueue<Generation> waiting = new PriorityQueue<>(Comparator.comparingInt(Generation::urgency));

    private final List<Generation> running = new ArrayList<>();

    private final Map<String, Boolean> cachedPrefixes;

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    private final ScheduledExecutorService stepExecutor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "engine-step");
        thread.setDaemon(true);
        return thread;
    });

    EngineBatch(EngineShape shape) {
        this.shape = shape;
        this.cachedPrefixes = new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > shape.prefixCacheEntries();
            }
        };
        stepExecutor.schedule(this::step, shape.stepMillis(), TimeUnit.MILLISECONDS);
    }

    synchronized void add(Generation generation) {
        waiting.add(generation);
    }

    synchronized void cancel(String requestId) {
        waiting.removeIf(generation -> generation.requestId().equals(requestId));
        running.removeIf(generation -> generation.requestId().equals(requestId));
    }

    synchronized void abortAll() {
        waiting.forEach(Generation::abort);
        running.forEach(Generation::abort);
        waiting.clear();
        running.clear();
        cachedPrefixes.clear();
    }

    private void step() {
        long micros;
        synchronized (this) {
            admit();
            Iterator<Generation> iterator = running.iterator();
            while (iterator.hasNext()) {
                Generation generation = iterator.next();
                if (generation.isAbandoned() || generation.step(shape.prefillTokensPerStep())) {
                    iterator.remove();
                }
            }
            micros = shape.stepMillis() * MICROS_PER_MILLI + running.size() * shape.stepMicrosPerRequest();
        }
        if (!stepExecutor.isShutdown()) {
            stepExecutor.schedule(this::step, micros, TimeUnit.MICROSECONDS);
        }
    }

    private void admit() {
        while (running.size() < shape.slots() && !waiting.isEmpty()) {
            Generation next = waiting.poll();
            if (next.isAbandoned()) {
                continue;
            }
            if (cachedPrefixes.put(next.prompt(), true) != null) {
                next.skipPrefill();
            }
            executions
                    .computeIfAbsent(next.requestId(), id -> new AtomicInteger())
                    .incrementAndGet();
            next.sendHead();
            running.add(next);
        }
    }

    synchronized void writeLoad(ObjectNode node) {
        node.put("queued", waiting.size());
        node.put("running", running.size());
        node.put("slots", shape.slots());
    }

    Map<String, AtomicInteger> executions() {
        return executions;
    }

    void stop() {
        stepExecutor.shutdownNow();
    }
}
