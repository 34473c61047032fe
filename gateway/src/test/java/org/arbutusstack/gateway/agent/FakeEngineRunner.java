package org.arbutusstack.gateway.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.arbutusstack.kernel.time.ManualClock;

/** Carries orders out at once, later or never, and remembers the most memory that it ever held. */
final class FakeEngineRunner {

    static final int MODEL_MB = 70;

    static final int ADAPTER_MB = 1;

    private final ManualClock clock;

    private final SplittableRandom random;

    private final List<Late> late = new ArrayList<>();

    private Map<String, Set<String>> held = new HashMap<>();

    private long startedAtMillis = 1;

    private long sequence;

    private long busyUntilNanos;

    private String loading = "";

    int mostMb;

    int mostAdapters;

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
        settle();
        Map<String, Long> versions = new HashMap<>();
        held.keySet().forEach(model -> versions.put(model, 1L));
        boolean busy = !loading.isEmpty();
        return new RunnerState(
                startedAtMillis, sequence, false, -1, busy, 0, 0, 0, 1, versions, held, List.of(), Set.of(), Set.of());
    }

    private void settle() {
        if (!loading.isEmpty() && clock.isPast(busyUntilNanos)) {
            held.put(loading, new HashSet<>());
            loading = "";
        }
        for (Late order : List.copyOf(late)) {
            if (clock.isPast(order.atNanos())) {
                late.remove(order);
                carryOut(order.order());
            }
        }
        count();
    }

    OrderOutcome order(RunnerOrder order) {
        settle();
        int luck = random.nextInt(10);
        if (luck == 0) {
            return OrderOutcome.UNKNOWN;
        }
        if (luck <= 2) {
            late.add(new Late(order, clock.deadlineNanos(2_000 + random.nextInt(10_000))));
            return OrderOutcome.UNKNOWN;
        }
        OrderOutcome outcome = carryOut(order);
        return luck == 3 ? OrderOutcome.UNKNOWN : outcome;
    }

    /** Checks only the sequence, as a runner does whose incarnation kept its identifier. */
    private OrderOutcome carryOut(RunnerOrder order) {
        if (order.expectedSequence() != sequence || !loading.isEmpty()) {
            return OrderOutcome.CONFLICT;
        }
        sequence++;
        if (order.isForAdapter()) {
            Set<String> adapters = held.getOrDefault(order.model(), new HashSet<>());
            boolean changed = order.load() ? adapters.add(order.adapter()) : adapters.remove(order.adapter());
            count();
            return changed ? OrderOutcome.ACCEPTED : OrderOutcome.HOLDS;
        }
        if (order.load()) {
            loading = order.model();
            busyUntilNanos = clock.deadlineNanos(2_300);
        } else {
            held.remove(order.model());
        }
        count();
        return OrderOutcome.ACCEPTED;
    }

    private void count() {
        int adapters = held.values().stream().mapToInt(Set::size).sum();
        int models = held.size() + (loading.isEmpty() || held.containsKey(loading) ? 0 : 1);
        mostMb = Math.max(mostMb, models * MODEL_MB + adapters * ADAPTER_MB);
        mostAdapters = Math.max(mostAdapters, adapters);
    }

    /** Holds an order that is carried out later. */
    private record Late(RunnerOrder order, long atNanos) {}
}
