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
 * Brings what the engine holds to what the plan wants, within the memory. Used by the side's duty only.
 *
 * <p>A model is unloaded only if the plan releases it, a later plan had time to arrive, entries had time to learn that
 * it is offered no more, and no request here needs it. Adapters are loaded when a request asks for them and unloaded,
 * the one used longest ago first, when room is wanted.
 */
final class Residency {

    private static final Logger logger = LoggerFactory.getLogger(Residency.class);

    private static final long RELEASE_DELAY_MILLIS = 1_000;

    private final String runner;

    private final MemoryLedger ledger;

    private final AdapterCache cache;

    private final Clock clock;

    private final Consumer<EngineOrder> orders;

    private final Supplier<Collection<Work>> openWork;

    private DesiredState state = DesiredState.EMPTY;

    private Plan plan;

    private final Map<String, Long> unloadAtNanos = new HashMap<>();

    private boolean engineKnown;

    Residency(
            SideIdentity identity,
            MemoryLedger ledger,
            AdapterCache cache,
            Clock clock,
            Consumer<EngineOrder> orders,
            Supplier<Collection<Work>> openWork) {
        this.runner = Assert.notNull(identity, "identity").name();
        this.ledger = Assert.notNull(ledger, "ledger");
        this.cache = Assert.notNull(cache, "cache");
        this.clock = Assert.notNull(clock, "clock");
        this.orders = Assert.notNull(orders, "orders");
        this.openWork = Assert.notNull(openWork, "openWork");
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
        converge();
    }

    void stateAdvanced(DesiredState advanced) {
        state = advanced;
        converge();
    }

    void adopt(Plan offered) {
        if (!offered.service().equals(plan.service()) || !offered.isAfter(plan)) {
            return;
        }
        plan = offered;
        unloadAtNanos.keySet().retainAll(plan.releasedOf(runner));
        plan.releasedOf(runner)
                .forEach(key -> unloadAtNanos.putIfAbsent(key, clock.deadlineNanos(RELEASE_DELAY_MILLIS)));
        logger.info("event=plan-adopted fence={} sequence={}", plan.fence(), plan.sequence());
        converge();
    }

    /** Takes the engine's own account of its memory. */
    void engineReported(JsonNode load, long askedAtNanos) {
        OrderExpiryProof before = ledger.proof();
        boolean provenBefore = ledger.isCommitPermitted();
        List<String> released = ledger.reconcile(EngineAccounts.read(load, askedAtNanos));
        released.forEach(key -> logger.info("event=memory-released key={}", key));
        if (before != ledger.proof()) {
            logger.error(
                    "event=engine-forgot-fence reported={}", load.path("fence").asLong());
        }
        if (provenBefore != ledger.isCommitPermitted()) {
            logger.info("event=memory-proof proven={} proof={}", ledger.isCommitPermitted(), ledger.proof());
        }
        engineKnown = true;
        converge();
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
        converge();
    }

    /** Sends the orders that are due. */
    void converge() {
        if (!engineKnown) {
            return;
        }
        ledger.raiseFence(clock.nowNanos())
                .ifPresent(fence -> orders.accept(new EngineOrder(OrderKind.ROLE, "", 0, fence)));
        if (!ledger.isCommitPermitted()) {
            return;
        }
        ledger.failedUnloads().forEach(this::unload);
        Set<String> inUse = inUse();
        for (String key : plan.modelsOf(runner)) {
            ModelSpec model = state.models().get(WeightsKey.parse(key).name());
            boolean known = model != null && keyOf(model).equals(key);
            if (known && ledger.state(key).isEmpty()) {
                makeRoom(model.memoryMb(), inUse);
                load(OrderKind.LOAD, key, model.memoryMb());
            }
        }
        retiring().stream()
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

    /** Lists the ready models that the plan releases. */
    private Set<String> retiring() {
        Set<String> keys = new HashSet<>(plan.releasedOf(runner));
        plan.modelsOf(runner).forEach(keys::remove);
        keys.retainAll(ledger.keys(ResidencyState.READY, false));
        return keys;
    }

    /** Lists the models and adapters that a request waiting or running here needs. */
    private Set<String> inUse() {
        Set<String> keys = new HashSet<>();
        for (Work work : openWork.get()) {
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

    private void makeRoom(long memoryMb, Set<String> inUse) {
        long comingMb = ledger.keys(ResidencyState.UNLOADING, true).stream()
                .mapToLong(ledger::memoryMb)
                .sum();
        long missingMb = ledger.committedMb() + memoryMb - ledger.sizeMb() - comingMb;
        Set<String> ready = new HashSet<>(ledger.keys(ResidencyState.READY, true));
        while (missingMb > 0) {
            Optional<String> victim = cache.victim(ready, inUse);
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
            orders.accept(new EngineOrder(kind, key, memoryMb, fence.getAsLong()));
        }
    }

    private void unload(String key) {
        boolean adapter = ledger.isAdapter(key);
        OrderKind kind = adapter ? OrderKind.UNLOAD_ADAPTER : OrderKind.UNLOAD;
        OptionalLong fence = ledger.unload(key, clock.nowNanos());
        if (fence.isPresent()) {
            logger.info("event=order order={} key={}", kind, key);
            orders.accept(new EngineOrder(kind, key, 0, fence.getAsLong()));
        }
    }

    /** Finds the ready version of a model that serves here: that of the state in force, or an earlier one before. */
    private Optional<String> servingKey(String name) {
        ModelSpec model = state.models().get(name);
        if (model != null && isReady(keyOf(model))) {
            return Optional.of(keyOf(model));
        }
        return ledger.keys(ResidencyState.READY, false).stream()
                .filter(key -> WeightsKey.parse(key).name().equals(name))
                .findFirst();
    }

    /** Tells whether work may be sent now, and orders its adapter if that is missing. */
    boolean isReady(Work work) {
        Optional<ModelSpec> model = state.resolveModel(work.frame().model());
        Optional<String> serving = model.flatMap(spec -> servingKey(spec.name()));
        if (serving.isEmpty()) {
            return false;
        }
        String version = WeightsKey.parse(serving.get()).version();
        AdapterSpec adapter = state.adapters().get(work.frame().adapter());
        if (adapter == null) {
            work.resolved(version, "");
            return true;
        }
        String key = keyOf(adapter);
        work.resolved(version, key);
        cache.used(key);
        if (ledger.state(key).isEmpty() && engineKnown) {
            orderAdapter(key, adapter.memoryMb());
        }
        return isReady(key);
    }

    private void orderAdapter(String key, long memoryMb) {
        if (!cache.mayLoad(ledger.keys(ResidencyState.LOADING, true).size())) {
            return;
        }
        makeRoom(memoryMb, inUse());
        load(OrderKind.LOAD_ADAPTER, key, memoryMb);
    }

    private boolean isReady(String key) {
        return ledger.state(key).filter(ResidencyState.READY::equals).isPresent();
    }

    /** Lists the models ready, without those that are to be unloaded. */
    List<String> readyModels() {
        List<String> keys = new ArrayList<>(ledger.keys(ResidencyState.READY, false));
        keys.removeAll(retiring());
        return keys;
    }

    /** Lists the models that take memory and are not offered to callers. */
    List<String> otherModels() {
        List<String> keys = new ArrayList<>(retiring());
        for (ResidencyState each : List.of(ResidencyState.LOADING, ResidencyState.UNKNOWN, ResidencyState.UNLOADING)) {
            keys.addAll(ledger.keys(each, false));
        }
        return keys;
    }

    /** Counts the requests waiting or running here by model. */
    Map<String, Integer> demand() {
        Map<String, Integer> demand = new TreeMap<>();
        for (Work work : openWork.get()) {
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
