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
 * Selector of the order that a runner gets next. Does no I/O; used by the agent's thread only.
 *
 * <p>Each order carries the sequence of the state that it was decided on, so that the runner executes it only on
 * exactly those holdings: lost, late or repeated orders cannot overcommit the runner's memory. The memory of loads with
 * an unknown outcome stays reserved for later incarnations with the same identifier until the orders can no longer
 * arrive.
 */
final class OrderIssuer {

    private static final Logger logger = LoggerFactory.getLogger(OrderIssuer.class);

    /** Maximum delay of an unanswered order: runners execute orders up to 12 s late; 1 s is added for transmission. */
    private static final long MAX_ORDER_DELAY_MILLIS = 13_000;

    /** How long an adapter remains requested after the last request that named it. */
    private static final long ADAPTER_REQUEST_MILLIS = 2_000;

    /** An adapter used within this time is not unloaded to free space. */
    private static final long RECENT_USE_MILLIS = 400;

    private static final int MAX_PENDING_ADAPTERS = 4;

    private final Clock clock;

    private final Map<String, Long> usedAtNanos = new HashMap<>();

    private final Map<String, Long> requestedUntilNanos = new LinkedHashMap<>();

    private final List<UnresolvedOrder> unresolvedOrders = new ArrayList<>();

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

    /** Apply a catalog, unless it is older than the current one. */
    void catalog(EngineCatalogFrame next) {
        boolean older = catalog != null
                && (next.configVersion() < catalog.configVersion()
                        || next.startedAtMillis() < catalog.startedAtMillis());
        if (!older) {
            catalog = next;
        }
    }

    /** Record that a request uses or waits for an adapter. */
    void recordAdapterUse(String model, String adapter) {
        String key = keyOf(model, adapter);
        usedAtNanos.put(key, clock.nowNanos());
        requestedUntilNanos.put(key, clock.deadlineNanos(ADAPTER_REQUEST_MILLIS));
    }

    private static String keyOf(String model, String adapter) {
        return model + '/' + adapter;
    }

    /** Accept an order of the planner; one that is older than the last is ignored. */
    void acceptModelOrder(ModelOrderFrame order) {
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

    /** Return the model that is being unloaded; empty if there is none. */
    String unloading() {
        return unloading;
    }

    /** Return the model that is being loaded or about to be loaded; empty if there is none. */
    String loading() {
        return modelOrder != null ? modelOrder.load() : loading;
    }

    /** Return whether an order is pending or in progress, so that the runner is to be polled more often. */
    boolean isActive() {
        return modelOrder != null || !loading.isEmpty() || !unloading.isEmpty() || !requestedUntilNanos.isEmpty();
    }

    /**
     * Decide the next order.
     *
     * @param state the current state of the runner
     * @return the order; empty if there is nothing to do or the catalog is for another incarnation
     */
    Optional<RunnerOrder> next(RunnerState state) {
        discardCompleted(state);
        if (catalog == null || catalog.startedAtMillis() != state.startedAtMillis()) {
            return Optional.empty();
        }
        Optional<RunnerOrder> adapter = nextAdapterOrder(state);
        return adapter.isPresent() ? adapter : nextModelOrder(state);
    }

    /** Discard orders and requests that are fulfilled, expired, or for another incarnation. */
    private void discardCompleted(RunnerState state) {
        unresolvedOrders.removeIf(unresolved -> clock.isPast(unresolved.untilNanos()));
        if (!state.busy()) {
            unloading = "";
            loading = "";
        }
        requestedUntilNanos
                .entrySet()
                .removeIf(requested -> clock.isPast(requested.getValue()) || isHeld(state, requested.getKey()));
        boolean done = modelOrder != null && state.holds(modelOrder.load());
        boolean stale = modelOrder != null
                && (clock.isPast(modelOrderUntilNanos) || modelOrder.startedAtMillis() != state.startedAtMillis());
        if (done || stale) {
            modelOrder = null;
        }
    }

    private static boolean isHeld(RunnerState state, String adapterKey) {
        int slash = adapterKey.lastIndexOf('/');
        return state.adaptersOf(adapterKey.substring(0, slash)).contains(adapterKey.substring(slash + 1));
    }

    private static boolean isPending(RunnerState state, String adapterKey) {
        return state.pendingAdapters().stream()
                .anyMatch(pending -> pending.equals(adapterKey) || pending.startsWith(adapterKey + '@'));
    }

    private Optional<RunnerOrder> nextAdapterOrder(RunnerState state) {
        if (state.busy()) {
            return Optional.empty();
        }
        for (String key : requestedUntilNanos.keySet()) {
            int slash = key.lastIndexOf('/');
            String model = key.substring(0, slash);
            boolean loadable = state.holds(model) && !model.equals(unloading) && !isPending(state, key);
            if (!loadable || state.pendingAdapters().size() >= MAX_PENDING_ADAPTERS) {
                continue;
            }
            int sizeMb = catalog.adapterMb().getOrDefault(model, Integer.MAX_VALUE);
            boolean fits = state.adapterCount() + unresolvedAdapterLoads(state) < catalog.adapterSlots()
                    && freeMb(state) >= sizeMb;
            Optional<RunnerOrder> order = fits
                    ? Optional.of(order(state, true, model, key.substring(slash + 1)))
                    : unloadLeastRecentlyUsed(state);
            if (order.isPresent()) {
                return order;
            }
        }
        return Optional.empty();
    }

    /** Order the unloading of the least recently used adapter, unless all adapters were used recently. */
    private Optional<RunnerOrder> unloadLeastRecentlyUsed(RunnerState state) {
        String oldest = null;
        long oldestNanos = RECENT_USE_MILLIS * Clock.NANOS_PER_MILLI;
        for (Map.Entry<String, Set<String>> held : state.adapters().entrySet()) {
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
        return Optional.of(order(state, false, oldest.substring(0, slash), oldest.substring(slash + 1)));
    }

    private Optional<RunnerOrder> nextModelOrder(RunnerState state) {
        if (modelOrder == null || state.busy()) {
            return Optional.empty();
        }
        for (String toUnload : modelOrder.unload()) {
            if (state.holds(toUnload)) {
                return Optional.of(order(state, false, toUnload, ""));
            }
        }
        int sizeMb = catalog.modelMb().getOrDefault(modelOrder.load(), Integer.MAX_VALUE);
        if (freeMb(state) < sizeMb) {
            Optional<RunnerOrder> eviction =
                    freeMb(state) + adaptersMb(state) >= sizeMb ? unloadLeastRecentlyUsed(state) : Optional.empty();
            if (eviction.isEmpty()) {
                logger.warn(
                        "event=load-given-up model={} free_mb={} size_mb={}", modelOrder.load(), freeMb(state), sizeMb);
                modelOrder = null;
            }
            return eviction;
        }
        return Optional.of(order(state, true, modelOrder.load(), ""));
    }

    private RunnerOrder order(RunnerState state, boolean load, String model, String adapter) {
        return new RunnerOrder(load, model, adapter, state.orderSequence(), catalog.runnerId());
    }

    /**
     * Record the outcome of an order.
     *
     * @param order the order
     * @param outcome the outcome
     * @param state the state on which the order was decided
     */
    void recordOutcome(RunnerOrder order, OrderOutcome outcome, RunnerState state) {
        if (outcome == OrderOutcome.UNKNOWN && order.load()) {
            unresolvedOrders.add(new UnresolvedOrder(
                    state.startedAtMillis(), order, sizeOf(order), clock.deadlineNanos(MAX_ORDER_DELAY_MILLIS)));
        }
        if (!outcome.mayTakeEffect()) {
            if (outcome == OrderOutcome.REFUSED) {
                requestedUntilNanos.remove(keyOf(order.model(), order.adapter()));
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

    private long unresolvedAdapterLoads(RunnerState state) {
        return unresolvedOrders.stream()
                .filter(unresolved ->
                        unresolved.order().isForAdapter() && unresolved.mayReach(state, catalog.runnerId()))
                .count();
    }

    private double adaptersMb(RunnerState state) {
        double sumMb = 0;
        for (Map.Entry<String, Set<String>> held : state.adapters().entrySet()) {
            sumMb += (double) held.getValue().size() * catalog.adapterMb().getOrDefault(held.getKey(), 0);
        }
        for (String pending : state.pendingAdapters()) {
            int slash = pending.lastIndexOf('/');
            sumMb += catalog.adapterMb().getOrDefault(slash < 0 ? pending : pending.substring(0, slash), 0);
        }
        return sumMb;
    }

    /** Return the memory in MB that remains free even if late orders to an earlier incarnation are executed. */
    double freeMb(RunnerState state) {
        double usedMb = adaptersMb(state);
        for (String model : state.versions().keySet()) {
            usedMb += catalog.modelMb().getOrDefault(model, (int) catalog.memoryMb());
        }
        boolean unreportedLoad = !loading.isEmpty() && !state.holds(loading);
        usedMb += unreportedLoad ? catalog.modelMb().getOrDefault(loading, 0) : 0;
        for (UnresolvedOrder unresolved : unresolvedOrders) {
            usedMb += unresolved.mayReach(state, catalog.runnerId()) ? unresolved.sizeMb() : 0;
        }
        return catalog.memoryMb() - usedMb;
    }

    /**
     * Load with an unknown outcome. While its incarnation is alive, the sequence of the order prevents it from
     * overcommitting the runner; a later incarnation with the same identifier counts its orders from zero again.
     */
    private record UnresolvedOrder(long startedAtMillis, RunnerOrder order, int sizeMb, long untilNanos) {

        /** Return whether the order may be executed by a later incarnation with the same identifier. */
        boolean mayReach(RunnerState state, String runnerId) {
            return startedAtMillis != state.startedAtMillis()
                    && order.runnerId().equals(runnerId);
        }
    }
}
