package org.arbutusstack.gateway.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.arbutusstack.kernel.time.ManualClock;

/** Fake runner that executes orders at once, late or never, and records its peak memory and adapter count. */
final class FakeEngineRunner {

    static final int MODEL_MB = 70;

    static final int ADAPTER_MB = 1;

    private final ManualClock clock;

    private final SplittableRandom random;

    private final List<DelayedOrder> delayedOrders = new ArrayList<>();

    private Map<String, Set<String>> held = new HashMap<>();

    private long startedAtMillis = 1;

    private long sequence;

    private long busyUntilNanos;

    private String loading = "";

    int peakMb;

    int peakAdapters;

    FakeEngineRunner(ManualClock clock, long seed) {
        this.clock = clock;
        this.random = new SplittableRandom(seed);
    }

    void restart() {
        startedAtMillis++;
        sequence = 0;
        held = new HashMap<>();
        loading = "";
        busyUntilNanos = 0;
    }

    RunnerState read() {
        executeDueOrders();
        Map<String, Long> versions = new HashMap<>();
        held.keySet().forEach(model -> versions.put(model, 1L));
        boolean busy = !loading.isEmpty();
        return new RunnerState(
                startedAtMillis, sequence, false, -1, busy, 0, 0, 0, 1, versions, held, List.of(), Set.of(), Set.of());
    }

    private void executeDueOrders() {
        if (!loading.isEmpty() && clock.isPast(busyUntilNanos)) {
            held.put(loading, new HashSet<>());
            loading = "";
        }
        for (DelayedOrder order : List.copyOf(delayedOrders)) {
            if (clock.isPast(order.atNanos())) {
                delayedOrders.remove(order);
                execute(order.order());
            }
        }
        recordPeak();
    }

    OrderOutcome order(RunnerOrder order) {
        executeDueOrders();
        int chance = random.nextInt(10);
        if (chance == 0) {
            return OrderOutcome.UNKNOWN;
        }
        if (chance <= 2) {
            delayedOrders.add(new DelayedOrder(order, clock.deadlineNanos(2_000 + random.nextInt(10_000))));
            return OrderOutcome.UNKNOWN;
        }
        OrderOutcome outcome = execute(order);
        return chance == 3 ? OrderOutcome.UNKNOWN : outcome;
    }

    /** Check only the sequence, like a runner whose incarnations share one identifier. */
    private OrderOutcome execute(RunnerOrder order) {
        if (order.expectedSequence() != sequence || !loading.isEmpty()) {
            return OrderOutcome.CONFLICT;
        }
        sequence++;
        if (order.isForAdapter()) {
            Set<String> adapters = held.getOrDefault(order.model(), new HashSet<>());
            boolean changed = order.load() ? adapters.add(order.adapter()) : adapters.remove(order.adapter());
            recordPeak();
            return changed ? OrderOutcome.ACCEPTED : OrderOutcome.HOLDS;
        }
        if (order.load()) {
            loading = order.model();
            busyUntilNanos = clock.deadlineNanos(2_300);
        } else {
            held.remove(order.model());
        }
        recordPeak();
        return OrderOutcome.ACCEPTED;
    }

    private void recordPeak() {
        int adapters = held.values().stream().mapToInt(Set::size).sum();
        int models = held.size() + (loading.isEmpty() || held.containsKey(loading) ? 0 : 1);
        peakMb = Math.max(peakMb, models * MODEL_MB + adapters * ADAPTER_MB);
        peakAdapters = Math.max(peakAdapters, adapters);
    }

    /** Order that is executed late. */
    private record DelayedOrder(RunnerOrder order, long atNanos) {}
}
