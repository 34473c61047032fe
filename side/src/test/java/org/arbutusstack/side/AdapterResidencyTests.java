package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.AdapterSpec;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.placement.MemoryLedger;
import org.arbutusstack.placement.OrderExpiryProof;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which adapters a side loads and which it evicts. */
public class AdapterResidencyTests {

    private static final int ADAPTERS = 12;

    private static final int FIRST_SMALL_ADAPTER = 6;

    private final FakeEngine engine = new FakeEngine(true, new Random(1), 0);

    private ManualClock clock;

    private List<FakeEngine.Answer> answers;

    private Collection<WorkItem> activeWork;

    private Residency residency;

    private long nowMillis;

    private int loads;

    private int maxConcurrentLoads;

    @BeforeMethod
    public void prepare() {
        engine.crash(nowMillis);
        clock = new ManualClock();
        answers = new ArrayList<>();
        activeWork = new ArrayList<>();
        loads = 0;
        maxConcurrentLoads = 0;
        residency = new Residency(
                new SideIdentity("r1", "lm", "regina", "i1", null),
                new MemoryLedger(OrderExpiryProof.FENCE, clock.nowNanos(), 5_000, 10_000),
                new AdapterCache(clock, 2, 3_000),
                clock,
                this::order,
                () -> activeWork);
        Map<String, AdapterSpec> adapters = new TreeMap<>();
        for (int index = 0; index < ADAPTERS; index++) {
            adapters.put(
                    "adapter" + index,
                    new AdapterSpec("adapter" + index, "m", "v1", index < FIRST_SMALL_ADAPTER ? 250 : 50));
        }
        residency.stateAdvanced(new DesiredState(
                1,
                Digest.ZERO,
                Map.of("lm", new ServiceSpec("lm", ServiceKind.ENGINE, true)),
                Map.of("m", new ModelSpec("m", "lm", "v1", 400, 1)),
                adapters,
                Map.of(),
                0,
                0));
        residency.fenceGranted(100 + nowMillis);
        residency.adopt(new Plan("lm", 1, 1, 1, Map.of("r1", List.of("m@v1")), Map.of()));
        advance(6_000);
    }

    private void order(EngineOrder order) {
        loads += order.kind() == OrderKind.LOAD_ADAPTER ? 1 : 0;
        answers.addAll(engine.send(order, nowMillis, 30_000));
    }

    private void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 100) {
            nowMillis += 100;
            clock.advanceMillis(100);
            engine.advance(nowMillis);
            for (FakeEngine.Answer answer : List.copyOf(answers)) {
                if (answer.atMillis <= nowMillis && answers.remove(answer)) {
                    residency.orderEnded(answer.order, answer.failure);
                }
            }
            if (engine.isAvailable(nowMillis)) {
                residency.engineReported(engine.memoryReport(nowMillis), clock.nowNanos());
            }
            maxConcurrentLoads = Math.max(
                    maxConcurrentLoads,
                    residency
                            .ledger()
                            .keys(org.arbutusstack.placement.ResidencyState.LOADING, true)
                            .size());
        }
    }

    private boolean requestAdapter(int adapter, long millis) {
        WorkItem work = AdapterRequests.work(adapter, "m", "adapter" + adapter);
        activeWork.add(work);
        for (long elapsed = 0; elapsed < millis; elapsed += 200) {
            if (residency.isReady(work)) {
                return true;
            }
            advance(200);
        }
        return false;
    }

    private void useAdapter(int adapter) {
        assertTrue(requestAdapter(adapter, 8_000), "adapter" + adapter);
        activeWork.removeIf(work -> work.frame().adapter().equals("adapter" + adapter));
    }

    @Test
    public void shouldUnloadLeastRecentlyUsedAdapterWhenMemoryIsNeeded() {
        useAdapter(0);
        useAdapter(1);
        advance(1_000);
        useAdapter(0);
        advance(4_000);
        useAdapter(2);
        assertEquals(residency.readyAdapters(), List.of("adapter0@v1", "adapter2@v1"));
        assertEquals(residency.readyModels(), List.of("m@v1"));
    }

    @Test
    public void shouldKeepAdapterWhenItIsInUse() {
        assertTrue(requestAdapter(0, 8_000));
        useAdapter(1);
        advance(20_000);
        useAdapter(2);
        advance(20_000);
        assertTrue(residency.readyAdapters().contains("adapter0@v1"));
        assertTrue(requestAdapter(3, 8_000));
        assertFalse(requestAdapter(4, 8_000));
        assertTrue(residency.readyAdapters().contains("adapter0@v1"));
    }

    @Test
    public void shouldKeepAdapterForStickyTimeWhenItWasJustUsed() {
        useAdapter(0);
        useAdapter(1);
        assertFalse(requestAdapter(2, 1_000));
        assertEquals(residency.readyAdapters(), List.of("adapter0@v1", "adapter1@v1"));
        assertTrue(requestAdapter(2, 8_000));
    }

    @Test
    public void shouldLimitConcurrentLoadsWhenManyAdaptersAreRequested() {
        for (int adapter = FIRST_SMALL_ADAPTER; adapter < ADAPTERS; adapter++) {
            requestAdapter(adapter, 200);
        }
        advance(10_000);
        assertTrue(loads >= 2, "loads " + loads);
        assertTrue(maxConcurrentLoads <= 2, "at once " + maxConcurrentLoads);
        assertEquals(engine.violations(), 0);
    }
}
