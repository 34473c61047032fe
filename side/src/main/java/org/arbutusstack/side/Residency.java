package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.AdapterSpec;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.WeightsKey;
import org.arbutusstack.placement.MemoryLedger;
import org.arbutusstack.placement.OrderExpiryProof;
import org.arbutusstack.placement.ResidencyState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciliation of the models and adapters that the engine holds with the plan, within the engine's memory. Confined
 * to the side's event loop.
 *
 * <p>A model is unloaded only if the plan releases it, a later plan had time to arrive, the entries had time to receive
 * the report that no longer offers it, and no request on this side needs it. Adapters are loaded on request and
 * evicted, least recently used first, when memory is needed.
 */
final class Residency {

    private static final Logger logger = LoggerFactory.getLogger(Residency.class);

    private static final long RELEASE_DELAY_MILLIS = 1_000;

    private final String runner;

    private final MemoryLedger ledger;

    private final AdapterCache cache;

    private final Clock clock;

    private final Consumer<EngineOrder> orderSender;

    private final Supplier<Collection<WorkItem>> activeWork;

    private DesiredState state = DesiredState.EMPTY;

    private Plan plan;

    private final Map<String, Long> unloadAtNanos = new HashMap<>();

    private boolean engineReportReceived;

    Residency(
            SideIdentity identity,
            MemoryLedger ledger,
            AdapterCache cache,
            Clock clock,
            Consumer<EngineOrder> orderSender,
            Supplier<Collection<WorkItem>> activeWork) {
        this.runner = Assert.notNull(identity, "identity").name();
        this.ledger = Assert.notNull(ledger, "ledger");
        this.cache = Assert.notNull(cache, "cache");
        this.clock = Assert.notNull(clock, "clock");
        this.orderSender = Assert.notNull(orderSender, "orderSender");
        this.activeWork = Assert.notNull(activeWork, "activeWork");
        this.plan = Plan.none(identity.service().isEmpty() ? "none" : identity.service());
    }

    Plan plan() {
        return plan;
    }

    MemoryLedger ledger() {
        return ledger;
    }

    void fenceGranted(long grant) {
        ledger.fenceGranted(grant);
        reconcile();
    }

    void stateAdvanced(DesiredState advanced) {
        state = advanced;
        reconcile();
    }

    /** Adopt a plan that is later than the current one. The models that it releases are unloaded after a delay. */
    void adopt(Plan offered) {
        if (!offered.service().equals(plan.service()) || !offered.isAfter(plan)) {
            return;
        }
        plan = offered;
        unloadAtNanos.keySet().retainAll(plan.releasedOf(runner));
        plan.releasedOf(runner)
                .forEach(key -> unloadAtNanos.putIfAbsent(key, clock.deadlineNanos(RELEASE_DELAY_MILLIS)));
        logger.info("event=plan-adopted fence={} sequence={}", plan.fence(), plan.sequence());
        reconcile();
    }

    /** Update the ledger from the engine's memory report. */
    void engineReported(JsonNode load, long requestedAtNanos) {
        OrderExpiryProof before = ledger.proof();
        boolean provenBefore = ledger.isCommitPermitted();
        List<String> released = ledger.reconcile(EngineMemoryReportParser.parse(load, requestedAtNanos));
        released.forEach(key -> logger.info("event=memory-released key={}", key));
        if (before != ledger.proof()) {
            logger.error(
                    "event=engine-forgot-fence reported={}", load.path("fence").asLong());
        }
        if (provenBefore != ledger.isCommitPermitted()) {
            logger.info("event=memory-proof proven={} proof={}", ledger.isCommitPermitted(), ledger.proof());
        }
        engineReportReceived = true;
        reconcile();
    }

    void orderEnded(EngineOrder order, String failure) {
        boolean done = failure == null;
        if (order.kind().isLoad()) {
            ledger.loadEnded(order.key(), order.fence(), done, clock.nowNanos());
        } else if (order.kind().isUnload()) {
            ledger.unloadEnded(order.key(), order.fence(), clock.nowNanos());
        }
        if (done && order.kind() == OrderKind.ROLE) {
            logger.debug("event=order-done order={} fence={}", order.kind(), order.fence());
        } else if (done) {
            logger.info("event=order-done order={} key={}", order.kind(), order.key());
        } else {
            logger.warn("event=order-failed order={} key={} detail={}", order.kind(), order.key(), failure);
        }
        reconcile();
    }

    /**
     * Send the orders that bring the engine closer to the plan. Sends none before the engine has reported, and only
     * role orders until the effects of earlier orders are proven.
     */
    void reconcile() {
        if (!engineReportReceived) {
            return;
        }
        ledger.raiseFence(clock.nowNanos())
                .ifPresent(fence -> orderSender.accept(new EngineOrder(OrderKind.ROLE, "", 0, fence)));
        if (!ledger.isCommitPermitted()) {
            return;
        }
        ledger.failedUnloads().forEach(this::unload);
        Set<String> inUse = inUse();
        for (String key : plan.modelsOf(runner)) {
            ModelSpec model = state.models().get(WeightsKey.parse(key).name());
            boolean known = model != null && keyOf(model).equals(key);
            if (known && ledger.state(key).isEmpty()) {
                freeMemory(model.memoryMb(), inUse);
                load(OrderKind.LOAD, key, model.memoryMb());
            }
        }
        releasedReadyModels().stream()
                .filter(key -> !inUse.contains(key) && clock.isPast(unloadAtNanos.get(key)))
                .forEach(this::unload);
        for (String key : ledger.keys(ResidencyState.READY, true)) {
            AdapterSpec adapter = state.adapters().get(WeightsKey.parse(key).name());
            boolean current = adapter != null && keyOf(adapter).equals(key);
            if (!current && !inUse.contains(key) && state.services().containsKey(plan.service())) {
                unload(key);
            }
        }
    }

    /** Return the ready models that the plan releases. */
    private Set<String> releasedReadyModels() {
        Set<String> keys = new HashSet<>(plan.releasedOf(runner));
        plan.modelsOf(runner).forEach(keys::remove);
        keys.retainAll(ledger.keys(ResidencyState.READY, false));
        return keys;
    }

    /** Return the models and adapters that a queued or running request needs. */
    private Set<String> inUse() {
        Set<String> keys = new HashSet<>();
        for (WorkItem work : activeWork.get()) {
            String model = work.frame().model();
            if (work.isDispatched()) {
                keys.add(new WeightsKey(model, work.modelVersion()).toString());
                keys.add(work.adapterKey());
            } else {
                servingKey(model).ifPresent(keys::add);
                Optional.ofNullable(state.adapters().get(work.frame().adapter()))
                        .ifPresent(adapter -> keys.add(keyOf(adapter)));
            }
        }
        return keys;
    }

    private void freeMemory(long memoryMb, Set<String> inUse) {
        long unloadingMb = ledger.keys(ResidencyState.UNLOADING, true).stream()
                .mapToLong(ledger::memoryMb)
                .sum();
        long missingMb = ledger.committedMb() + memoryMb - ledger.sizeMb() - unloadingMb;
        Set<String> ready = new HashSet<>(ledger.keys(ResidencyState.READY, true));
        while (missingMb > 0) {
            Optional<String> victim = cache.selectVictim(ready, inUse);
            if (victim.isEmpty()) {
                return;
            }
            missingMb -= ledger.memoryMb(victim.get());
            ready.remove(victim.get());
            unload(victim.get());
        }
    }

    private void load(OrderKind kind, String key, long memoryMb) {
        OptionalLong fence = ledger.commit(key, memoryMb, kind == OrderKind.LOAD_ADAPTER, clock.nowNanos());
        if (fence.isPresent()) {
            logger.info("event=order order={} key={} committed_mb={}", kind, key, ledger.committedMb());
            orderSender.accept(new EngineOrder(kind, key, memoryMb, fence.getAsLong()));
        }
    }

    private void unload(String key) {
        boolean adapter = ledger.isAdapter(key);
        OrderKind kind = adapter ? OrderKind.UNLOAD_ADAPTER : OrderKind.UNLOAD;
        OptionalLong fence = ledger.unload(key, clock.nowNanos());
        if (fence.isPresent()) {
            logger.info("event=order order={} key={}", kind, key);
            orderSender.accept(new EngineOrder(kind, key, 0, fence.getAsLong()));
        }
    }

    /** Return the ready version of a model: that of the state in force or, until it is ready, an earlier one. */
    private Optional<String> servingKey(String name) {
        ModelSpec model = state.models().get(name);
        if (model != null && isReady(keyOf(model))) {
            return Optional.of(keyOf(model));
        }
        return ledger.keys(ResidencyState.READY, false).stream()
                .filter(key -> WeightsKey.parse(key).name().equals(name))
                .findFirst();
    }

    /**
     * Return whether work can be dispatched now, resolve its model version and adapter, and order the adapter if it is
     * missing.
     */
    boolean isReady(WorkItem work) {
        Optional<ModelSpec> model = state.resolveModel(work.frame().model());
        Optional<String> serving = model.flatMap(spec -> servingKey(spec.name()));
        if (serving.isEmpty()) {
            return false;
        }
        String version = WeightsKey.parse(serving.get()).version();
        AdapterSpec adapter = state.adapters().get(work.frame().adapter());
        if (adapter == null) {
            work.resolve(version, "");
            return true;
        }
        String key = keyOf(adapter);
        work.resolve(version, key);
        cache.recordUse(key);
        if (ledger.state(key).isEmpty() && engineReportReceived) {
            orderAdapter(key, adapter.memoryMb());
        }
        return isReady(key);
    }

    private void orderAdapter(String key, long memoryMb) {
        if (!cache.mayLoad(ledger.keys(ResidencyState.LOADING, true).size())) {
            return;
        }
        freeMemory(memoryMb, inUse());
        load(OrderKind.LOAD_ADAPTER, key, memoryMb);
    }

    private boolean isReady(String key) {
        return ledger.state(key).filter(ResidencyState.READY::equals).isPresent();
    }

    /** Return the ready models, without those to be unloaded. */
    List<String> readyModels() {
        List<String> keys = new ArrayList<>(ledger.keys(ResidencyState.READY, false));
        keys.removeAll(releasedReadyModels());
        return keys;
    }

    /** Return the models that take memory and are not offered to callers. */
    List<String> otherModels() {
        List<String> keys = new ArrayList<>(releasedReadyModels());
        for (ResidencyState each : List.of(ResidencyState.LOADING, ResidencyState.UNKNOWN, ResidencyState.UNLOADING)) {
            keys.addAll(ledger.keys(each, false));
        }
        return keys;
    }

    /** Return the number of queued and running requests by model. */
    Map<String, Integer> demand() {
        Map<String, Integer> demand = new TreeMap<>();
        for (WorkItem work : activeWork.get()) {
            if (!work.frame().model().isEmpty()) {
                demand.merge(work.frame().model(), 1, Integer::sum);
            }
        }
        return demand;
    }

    List<String> readyAdapters() {
        return List.copyOf(ledger.keys(ResidencyState.READY, true));
    }

    static String keyOf(ModelSpec model) {
        return WeightsKey.of(model).toString();
    }

    static String keyOf(AdapterSpec adapter) {
        return WeightsKey.of(adapter).toString();
    }
}
