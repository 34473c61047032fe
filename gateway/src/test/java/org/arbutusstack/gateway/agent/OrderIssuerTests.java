package org.arbutusstack.gateway.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.EngineCatalogFrame;
import org.arbutusstack.wire.frame.ModelOrderFrame;
import org.testng.annotations.Test;

/** Tests which orders a runner gets, and that no sequence of lost and late orders overcommits it. */
public class OrderIssuerTests {

    private static final int MEMORY_MB = 230;

    private static final int ADAPTER_SLOTS = 3;

    private static final int SCHEDULES = 300;

    private static final int STEPS = 400;

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private static EngineCatalogFrame catalog(long startedAtMillis) {
        Map<String, Integer> models = Map.of("m0", 70, "m1", 70, "m2", 70, "m3", 70, "m4", 70);
        Map<String, Integer> adapters = Map.of("m0", 1, "m1", 1, "m2", 1, "m3", 1, "m4", 1);
        return new EngineCatalogFrame(1, "i-1", startedAtMillis, MEMORY_MB, ADAPTER_SLOTS, models, adapters);
    }

    private static RunnerState state(long sequence, boolean busy, Map<String, Set<String>> held) {
        Map<String, Long> versions = new java.util.HashMap<>();
        held.keySet().forEach(model -> versions.put(model, 1L));
        return new RunnerState(1, sequence, false, -1, busy, 0, 0, 0, 1, versions, held, List.of(), Set.of(), Set.of());
    }

    private OrderIssuer issuer() {
        OrderIssuer issuer = new OrderIssuer(clock);
        issuer.catalog(catalog(1));
        return issuer;
    }

    @Test
    public void shouldLoadAdapterWhenARequestNamesIt() {
        OrderIssuer issuer = issuer();
        issuer.recordAdapterUse("m0", "a1");
        Optional<RunnerOrder> order = issuer.next(state(4, false, Map.of("m0", Set.of())));
        assertEquals(order, Optional.of(new RunnerOrder(true, "m0", "a1", 4, "i-1")));
    }

    @Test
    public void shouldIssueNoAdapterOrderWhileAModelOrderIsInProgress() {
        OrderIssuer issuer = issuer();
        issuer.recordAdapterUse("m0", "a1");
        assertTrue(issuer.next(state(4, true, Map.of("m0", Set.of()))).isEmpty());
    }

    @Test
    public void shouldUnloadAdapterUnusedForLongestWhenAllSlotsAreTaken() {
        OrderIssuer issuer = issuer();
        for (String adapter : List.of("a2", "a1", "a3")) {
            issuer.recordAdapterUse("m0", adapter);
            clock.advanceMillis(1_000);
        }
        issuer.recordAdapterUse("m0", "a9");
        Optional<RunnerOrder> order = issuer.next(state(4, false, Map.of("m0", Set.of("a1", "a2", "a3"))));
        assertEquals(order, Optional.of(new RunnerOrder(false, "m0", "a2", 4, "i-1")));
    }

    @Test
    public void shouldIgnoreOrderWhenItIsFromAnEarlierPlanner() {
        OrderIssuer issuer = issuer();
        issuer.acceptModelOrder(new ModelOrderFrame(7, 1, 1, 1_000, "m3", List.of()));
        issuer.acceptModelOrder(new ModelOrderFrame(6, 9, 1, 1_000, "m4", List.of()));
        assertEquals(issuer.loading(), "m3");
    }

    @Test
    public void shouldDiscardModelOrderWhenItIsForAnEarlierIncarnation() {
        OrderIssuer issuer = issuer();
        issuer.acceptModelOrder(new ModelOrderFrame(7, 1, 99, 1_000, "m3", List.of()));
        assertTrue(issuer.next(state(0, false, Map.of())).isEmpty());
        assertFalse(issuer.isActive());
    }

    @Test
    public void shouldUnloadBeforeLoadingWhenMemoryIsFull() {
        OrderIssuer issuer = issuer();
        issuer.acceptModelOrder(new ModelOrderFrame(7, 1, 1, 9_000, "m3", List.of("m1")));
        Map<String, Set<String>> full = Map.of("m0", Set.of(), "m1", Set.of(), "m2", Set.of());
        assertEquals(issuer.next(state(0, false, full)), Optional.of(new RunnerOrder(false, "m1", "", 0, "i-1")));
        Map<String, Set<String>> room = Map.of("m0", Set.of(), "m2", Set.of());
        assertEquals(issuer.next(state(1, false, room)), Optional.of(new RunnerOrder(true, "m3", "", 1, "i-1")));
    }

    /** Guards against memory reserved for lost orders after the runner has restarted empty under another identifier. */
    @Test
    public void shouldReserveNoMemoryForOrdersToAnotherIdentifier() {
        OrderIssuer issuer = issuer();
        issuer.acceptModelOrder(new ModelOrderFrame(7, 1, 1, 9_000, "m3", List.of()));
        RunnerState former = state(0, false, Map.of());
        issuer.recordOutcome(issuer.next(former).orElseThrow(), OrderOutcome.UNKNOWN, former);
        EngineCatalogFrame same = catalog(1);
        issuer.catalog(new EngineCatalogFrame(1, "i-2", 2, MEMORY_MB, ADAPTER_SLOTS, same.modelMb(), same.adapterMb()));
        RunnerState next = new RunnerState(
                2,
                0,
                false,
                -1,
                false,
                0,
                0,
                0,
                1,
                Map.of("m0", 1L, "m1", 1L),
                Map.of(),
                List.of(),
                Set.of(),
                Set.of());
        issuer.acceptModelOrder(new ModelOrderFrame(7, 2, 2, 9_000, "m4", List.of()));
        assertEquals(issuer.next(next), Optional.of(new RunnerOrder(true, "m4", "", 0, "i-2")));
    }

    /**
     * Loses, delays and repeats orders, restarts the runner under the same identifier, and requests far too many loads.
     */
    @Test
    public void shouldNeverOvercommitWhenOrdersAreLostOrLate() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            ManualClock time = new ManualClock(1_000_000_000L);
            FakeEngineRunner runner = new FakeEngineRunner(time, seed);
            OrderIssuer issuer = new OrderIssuer(time);
            SplittableRandom random = new SplittableRandom(seed);
            for (int step = 0; step < STEPS; step++) {
                step(runner, issuer, random, step);
                time.advanceMillis(random.nextInt(200));
            }
            assertTrue(runner.peakMb <= MEMORY_MB, "seed " + seed + ": " + runner.peakMb + " MB");
            assertTrue(runner.peakAdapters <= ADAPTER_SLOTS, "seed " + seed + ": " + runner.peakAdapters + " adapters");
        }
    }

    private static void step(FakeEngineRunner runner, OrderIssuer issuer, SplittableRandom random, int step) {
        if (random.nextInt(60) == 0) {
            runner.restart();
        }
        RunnerState state = runner.read();
        issuer.catalog(catalog(state.startedAtMillis()));
        if (random.nextInt(4) == 0) {
            issuer.recordAdapterUse("m" + random.nextInt(5), "a" + random.nextInt(6));
        }
        if (random.nextInt(10) == 0) {
            List<String> unload = random.nextBoolean() ? List.of("m" + random.nextInt(5)) : List.of();
            issuer.acceptModelOrder(
                    new ModelOrderFrame(1, step + 1, state.startedAtMillis(), 4_000, "m" + random.nextInt(5), unload));
        }
        Optional<RunnerOrder> order = issuer.next(state);
        order.ifPresent(issued -> issuer.recordOutcome(issued, runner.order(issued), state));
    }
}
