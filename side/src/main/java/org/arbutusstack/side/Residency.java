package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.AdapterSpec;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.placement.MemoryLedger;
import org.arbutusstack.placement.ResidencyState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings what the engine holds to what the plan wants, within the memory. Used by the side's duty only.
 */
final class Residency {

    private static final Logger logger = LoggerFactory.getLogger(Residency.class);

    private final String runner;

    private final MemoryLedger ledger;

    private final Consumer<EngineOrder> orders;

    private final Set<String> adapterKeys = new HashSet<>();

    private DesiredState state = DesiredState.EMPTY;

    private Plan plan;

    private long fence;

    private boolean engineKnown;

    Residency(String runner, String service, MemoryLedger ledger, Consumer<EngineOrder> orders) {
        this.runner = Assert.hasText(runner, "runner");
        this.ledger = Assert.notNull(ledger, "ledger");
        this.orders = Assert.notNull(orders, "orders");
        this.plan = Plan.none(service.isEmpty() ? "none" : service);
    }

    Plan plan() {
        return plan;
    }

    MemoryLedger ledger() {
        return ledger;
    }

    void fenceGranted(long granted) {
        fence = granted;
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
        logger.info("event=plan-adopted fence={} sequence={}", plan.fence(), plan.sequence());
        converge();
    }

    /** Takes the engine's own account as the truth for what no order of this process is under way for. */
    void engineReported(JsonNode load) {
        ledger.resize(load.path("memory_mb").asLong());
        Set<String> held = new HashSet<>();
        load.path("models").forEach(item -> reconcile(item, false, held));
        load.path("adapters").forEach(item -> reconcile(item, true, held));
        for (String key : ledger.keys(ResidencyState.READY)) {
            if (!held.contains(key)) {
                logger.warn("event=residency-lost key={}", key);
                ledger.release(key);
            }
        }
        engineKnown = true;
        converge();
    }

    private void reconcile(JsonNode item, boolean adapter, Set<String> held) {
        String key = item.path("key").asText();
        held.add(key);
        if (adapter) {
            adapterKeys.add(key);
        }
        if (ledger.state(key).isEmpty()) {
            boolean ready = item.path("ready").asBoolean();
            ledger.adopt(key, item.path("memory_mb").asLong(), ready ? ResidencyState.READY : ResidencyState.LOADING);
        }
    }

    void orderEnded(EngineOrder order, String failure) {
        if (failure != null) {
            logger.warn("event=order-failed order={} key={} detail={}", order.kind(), order.key(), failure);
        }
        if (order.kind().isLoad()) {
            if (failure == null) {
                ledger.mark(order.key(), ResidencyState.READY);
                logger.info("event=loaded key={}", order.key());
            }
        } else if (failure == null) {
            ledger.release(order.key());
            logger.info("event=unloaded key={}", order.key());
        }
        converge();
    }

    private boolean mayOrder() {
        return fence > 0 && engineKnown;
    }

    private void converge() {
        if (!mayOrder()) {
            return;
        }
        Set<String> wanted = new HashSet<>();
        for (String name : plan.modelsOf(runner)) {
            ModelSpec model = state.models().get(name);
            if (model != null) {
                wanted.add(keyOf(model));
                load(OrderKind.LOAD, keyOf(model), model.memoryMb());
            }
        }
        unloadRemoved(wanted);
    }

    private void unloadRemoved(Set<String> wanted) {
        Set<String> known = new HashSet<>();
        state.models().values().forEach(model -> known.add(keyOf(model)));
        state.adapters().values().forEach(adapter -> known.add(keyOf(adapter)));
        for (String key : ledger.keys(ResidencyState.READY)) {
            if (!known.contains(key) && !wanted.contains(key)) {
                ledger.mark(key, ResidencyState.UNLOADING);
                OrderKind kind = adapterKeys.contains(key) ? OrderKind.UNLOAD_ADAPTER : OrderKind.UNLOAD;
                orders.accept(new EngineOrder(kind, key, 0, fence));
            }
        }
    }

    private void load(OrderKind kind, String key, long memoryMb) {
        if (ledger.state(key).isEmpty() && ledger.commit(key, memoryMb)) {
            logger.info("event=order order={} key={} committed_mb={}", kind, key, ledger.committedMb());
            orders.accept(new EngineOrder(kind, key, memoryMb, fence));
        }
    }

    /** Tells whether work may be sent now, and orders its adapter if that is missing. */
    boolean isReady(Work work) {
        Optional<ModelSpec> model = state.resolveModel(work.frame().model());
        if (model.isEmpty() || !isReady(keyOf(model.get()))) {
            return false;
        }
        AdapterSpec adapter = state.adapters().get(work.frame().adapter());
        if (adapter == null) {
            work.resolved(model.get().version(), "");
            return true;
        }
        String key = keyOf(adapter);
        work.resolved(model.get().version(), key);
        if (!isReady(key) && mayOrder()) {
            adapterKeys.add(key);
            load(OrderKind.LOAD_ADAPTER, key, adapter.memoryMb());
        }
        return isReady(key);
    }

    private boolean isReady(String key) {
        return ledger.state(key).filter(ResidencyState.READY::equals).isPresent();
    }

    List<String> readyModels() {
        return ready(false);
    }

    List<String> readyAdapters() {
        return ready(true);
    }

    private List<String> ready(boolean adapters) {
        List<String> keys = new ArrayList<>(ledger.keys(ResidencyState.READY));
        keys.removeIf(key -> adapterKeys.contains(key) != adapters);
        return keys;
    }

    static String keyOf(ModelSpec model) {
        return model.name() + "@" + model.version();
    }

    static String keyOf(AdapterSpec adapter) {
        return adapter.name() + "@" + adapter.version();
    }
}
