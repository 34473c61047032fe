package org.arbutusstack.gateway.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.EngineCatalogFrame;
import org.arbutusstack.wire.frame.ModelOrderFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which order a runner gets next. Does no I/O; used by the attendant's duty only.
 *
 * <p>Each order names the sequence of the reading that it was decided on, so that it can only be carried out on just
 * the holdings that were read: orders lost, late or repeated cannot make the runner hold more than fits. Loads whose
 * fate is unknown keep their memory reserved against later incarnations of the same identifier until they can no longer
 * arrive.
 */
final class OrderIssuer {

    private static final Logger logger = LoggerFactory.getLogger(OrderIssuer.class);

    /** Unanswered orders are carried out up to twelve seconds late; one more for the way. */
    private static final long LATE_MILLIS = 13_000;

    /** How long an adapter is wanted after a request named it, unless it is named again. */
    private static final long WANT_MILLIS = 2_000;

    /** An adapter used since then does not yield. */
    private static final long RECENT_USE_MILLIS = 400;

    private static final int MOST_PENDING_ADAPTERS = 4;

    private final Clock clock;

    private final Map<String, Long> usedAtNanos = new HashMap<>();

    private final Map<String, Long> wantedUntilNanos = new LinkedHashMap<>();

    private final List<LateOrder> lateOrders = new ArrayList<>();

    private EngineCatalogFrame catalog;

    private ModelOrderFrame modelOrder;

    private long modelOrderUntilNanos;

    private long highestFence;

    private long lastSequence;

    private String unloading = "";

    private String loading = "";

    OrderIssuer(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    void catalog(EngineCatalogFrame next) {
        boolean older = catalog != null
                && (next.configVersion() < catalog.configVersion()
                        || next.startedAtMillis() < catalog.startedAtMillis());
        if (!older) {
            catalog = next;
        }
    }

    void adapterUsed(String model, String adapter) {
        String key = keyOf(model, adapter);
        usedAtNanos.put(key, clock.nowNanos());
        wantedUntilNanos.put(key, clock.deadlineNanos(WANT_MILLIS));
    }

    private static String keyOf(String model, String adapter) {
        return model + '/' + adapter;
    }

    /** Takes an order of the planner; one that is older than the last is passed over. */
    void modelOrdered(ModelOrderFrame order) {
        boolean newer =
                order.fence() > highestFence || order.fence() == highestFence && order.sequence() > lastSequence;
        if (!newer) {
            logger.warn(
                    "event=order-outdated fence={} sequence={} known={}",
                    order.fence(),
                    order.sequence(),
                    highestFence);
            return;
        }
        highestFence = order.fence();
        lastSequence = order.sequence();
        modelOrder = order;
        modelOrderUntilNanos = clock.deadlineNanos(order.validMillis());
    }

    /** Names the model that is being unloaded; empty if none is. */
    String unloading() {
        return unloading;
    }

    /** Names the model that is being loaded or about to be; empty if none is. */
    String loading() {
        return modelOrder != null ? modelOrder.load() : loading;
    }

    /** Tells whether something is under way that a fresh reading would move on. */
    boolean isActive() {
        return modelOrder != null || !loading.isEmpty() || !unloading.isEmpty() || !wantedUntilNanos.isEmpty();
    }

    /** Decides the next order, if any. */
    Optional<RunnerOrder> next(RunnerState reading) {
        settle(reading);
        if (catalog == null || catalog.startedAtMillis() != reading.startedAtMillis()) {
            return Optional.empty();
        }
        Optional<RunnerOrder> adapter = nextAdapter(reading);
        return adapter.isPresent() ? adapter : nextModel(reading);
    }

    /** Drops what has come about or can no longer be. */
    private void settle(RunnerState reading) {
        lateOrders.removeIf(late -> clock.isPast(late.untilNanos()));
        if (!reading.busy()) {
            unloading = "";
            loading = "";
        }
        wantedUntilNanos
                .entrySet()
                .removeIf(wanted -> clock.isPast(wanted.getValue()) || isHeld(reading, wanted.getKey()));
        boolean done = modelOrder != null && reading.holds(modelOrder.load());
        boolean stale = modelOrder != null
                && (clock.isPast(modelOrderUntilNanos) || modelOrder.startedAtMillis() != reading.startedAtMillis());
        if (done || stale) {
            modelOrder = null;
        }
    }

    private static boolean isHeld(RunnerState reading, String adapterKey) {
        int slash = adapterKey.lastIndexOf('/');
        return reading.adaptersOf(adapterKey.substring(0, slash)).contains(adapterKey.substring(slash + 1));
    }

    private static boolean isPending(RunnerState reading, String adapterKey) {
        return reading.pendingAdapters().stream()
                .anyMatch(pending -> pending.equals(adapterKey) || pending.startsWith(adapterKey + '@'));
    }

    private Optional<RunnerOrder> nextAdapter(RunnerState reading) {
        if (reading.busy()) {
            return Optional.empty();
        }
        for (String key : wantedUntilNanos.keySet()) {
            int slash = key.lastIndexOf('/');
            String model = key.substring(0, slash);
            boolean loadable = reading.holds(model) && !model.equals(unloading) && !isPending(reading, key);
            if (!loadable || reading.pendingAdapters().size() >= MOST_PENDING_ADAPTERS) {
                continue;
            }
            int sizeMb = catalog.adapterMb().getOrDefault(model, Integer.MAX_VALUE);
            boolean fits = reading.adapterCount() + lateAdapters(reading) < catalog.adapterSlots()
                    && freeMb(reading) >= sizeMb;
            Optional<RunnerOrder> order =
                    fits ? Optional.of(order(reading, true, model, key.substring(slash + 1))) : leastUsed(reading);
            if (order.isPresent()) {
                return order;
            }
        }
        return Optional.empty();
    }

    /** Chooses the adapter that yields: the one not used for longest, if no request named it a moment ago. */
    private Optional<RunnerOrder> leastUsed(RunnerState reading) {
        String oldest = null;
        long oldestNanos = RECENT_USE_MILLIS * Clock.NANOS_PER_MILLI;
        for (Map.Entry<String, Set<String>> held : reading.adapters().entrySet()) {
            for (String adapter : new TreeSet<>(held.getValue())) {
                String key = keyOf(held.getKey(), adapter);
                long unusedNanos =
                        usedAtNanos.containsKey(key) ? clock.nowNanos() - usedAtNanos.get(key) : Long.MAX_VALUE;
                if (unusedNanos > oldestNanos) {
                    oldest = key;
                    oldestNanos = unusedNanos;
                }
            }
        }
        if (oldest == null) {
            return Optional.empty();
        }
        int slash = oldest.lastIndexOf('/');
        return Optional.of(order(reading, false, oldest.substring(0, slash), oldest.substring(slash + 1)));
    }

    private Optional<RunnerOrder> nextModel(RunnerState reading) {
        if (modelOrder == null || reading.busy()) {
            return Optional.empty();
        }
        for (String victim : modelOrder.unload()) {
            if (reading.holds(victim)) {
                return Optional.of(order(reading, false, victim, ""));
            }
        }
        int sizeMb = catalog.modelMb().getOrDefault(modelOrder.load(), Integer.MAX_VALUE);
        if (freeMb(reading) < sizeMb) {
            Optional<RunnerOrder> room =
                    freeMb(reading) + adaptersMb(reading) >= sizeMb ? leastUsed(reading) : Optional.empty();
            if (room.isEmpty()) {
                logger.warn(
                        "event=load-given-up model={} free_mb={} size_mb={}",
                        modelOrder.load(),
                        freeMb(reading),
                        sizeMb);
                modelOrder = null;
            }
            return room;
        }
        return Optional.of(order(reading, true, modelOrder.load(), ""));
    }

    private RunnerOrder order(RunnerState reading, boolean load, String model, String adapter) {
        return new RunnerOrder(load, model, adapter, reading.orderSequence(), catalog.runnerId());
    }

    /** Notes what became of an order. */
    void ordered(RunnerOrder order, OrderOutcome outcome, RunnerState reading) {
        if (outcome == OrderOutcome.UNKNOWN && order.load()) {
            lateOrders.add(
                    new LateOrder(reading.startedAtMillis(), order, sizeOf(order), clock.deadlineNanos(LATE_MILLIS)));
        }
        if (!outcome.mayTakeEffect()) {
            if (outcome == OrderOutcome.REFUSED) {
                wantedUntilNanos.remove(keyOf(order.model(), order.adapter()));
                modelOrder = order.isForAdapter() ? modelOrder : null;
            }
            return;
        }
        if (!order.isForAdapter() && order.load()) {
            loading = order.model();
        } else if (!order.isForAdapter()) {
            unloading = order.model();
        }
    }

    private int sizeOf(RunnerOrder order) {
        Map<String, Integer> sizes = order.isForAdapter() ? catalog.adapterMb() : catalog.modelMb();
        return sizes.getOrDefault(order.model(), 0);
    }

    private long lateAdapters(RunnerState reading) {
        return lateOrders.stream()
                .filter(late -> late.order().isForAdapter() && late.mayMeet(reading, catalog.runnerId()))
                .count();
    }

    private double adaptersMb(RunnerState reading) {
        double sumMb = 0;
        for (Map.Entry<String, Set<String>> held : reading.adapters().entrySet()) {
            sumMb += (double) held.getValue().size() * catalog.adapterMb().getOrDefault(held.getKey(), 0);
        }
        for (String pending : reading.pendingAdapters()) {
            int slash = pending.lastIndexOf('/');
            sumMb += catalog.adapterMb().getOrDefault(slash < 0 ? pending : pending.substring(0, slash), 0);
        }
        return sumMb;
    }

    /** Tells the memory that is certainly free, also if late orders of an earlier incarnation are carried out. */
    double freeMb(RunnerState reading) {
        double usedMb = adaptersMb(reading);
        for (String model : reading.versions().keySet()) {
            usedMb += catalog.modelMb().getOrDefault(model, (int) catalog.memoryMb());
        }
        boolean uncounted = !loading.isEmpty() && !reading.holds(loading);
        usedMb += uncounted ? catalog.modelMb().getOrDefault(loading, 0) : 0;
        for (LateOrder late : lateOrders) {
            usedMb += late.mayMeet(reading, catalog.runnerId()) ? late.sizeMb() : 0;
        }
        return catalog.memoryMb() - usedMb;
    }

    /**
     * Holds a load whose fate is not known. While its incarnation lives, its sequence keeps it from overcommitting the
     * runner; a later incarnation that bears the same identifier counts its orders from zero again.
     */
    private record LateOrder(long startedAtMillis, RunnerOrder order, int sizeMb, long untilNanos) {

        boolean mayMeet(RunnerState reading, String runnerId) {
            return startedAtMillis != reading.startedAtMillis()
                    && order.runnerId().equals(runnerId);
        }
    }
}
