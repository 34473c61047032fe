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

/** Tests which orders a runner gets, and that no schedule of lost and late orders overcommits it. */
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

    private static RunnerState reading(long sequence, boolean busy, Map<String, Set<String>> held) {
        Map<String, Long> versions = new java.util.HashMap<>();
        held.keySet().forEach(model -> versions.put(model, 1L));
        return new RunnerState(1, sequence, false, -1, busy, 0, 0, 0, 1, versions, held, List.of(), Set.of(), Set.of());
    }

    private OrderIssuer desk() {
        OrderIssuer desk = new OrderIssuer(clock);
        desk.catalog(catalog(1));
        return desk;
    }

    @Test
    public void shouldLoadAdapterWhenARequestNamesIt() {
        OrderIssuer desk = desk();
        desk.adapterUsed("m0", "a1");
        Optional<RunnerOrder> order = desk.next(reading(4, false, Map.of("m0", Set.of())));
        assertEquals(order, Optional.of(new RunnerOrder(true, "m0", "a1", 4, "i-1")));
    }

    @Test
    public void shouldGiveNoAdapterOrderWhileAModelOrderIsInProgress() {
        OrderIssuer desk = desk();
        desk.adapterUsed("m0", "a1");
        assertTrue(desk.next(reading(4, true, Map.of("m0", Set.of()))).isEmpty());
    }

    @Test
    public void shouldUnloadAdapterUnusedForLongestWhenAllSlotsAreTaken() {
        OrderIssuer desk = desk();
        for (String adapter : List.of("a2", "a1", "a3")) {
            desk.adapterUsed("m0", adapter);
            clock.advanceMillis(1_000);
        }
        desk.adapterUsed("m0", "a9");
        Optional<RunnerOrder> order = desk.next(reading(4, false, Map.of("m0", Set.of("a1", "a2", "a3"))));
        assertEquals(order, Optional.of(new RunnerOrder(false, "m0", "a2", 4, "i-1")));
    }

    @Test
    public void shouldPassOverOrderOfAnEarlierPlanner() {
        OrderIssuer desk = desk();
        desk.modelOrdered(new ModelOrderFrame(7, 1, 1, 1_000, "m3", List.of()));
        desk.modelOrdered(new ModelOrderFrame(6, 9, 1, 1_000, "m4", List.of()));
        assertEquals(desk.loading(), "m3");
    }

    @Test
    public void shouldGiveUpModelOrderWhenItIsForAnEarlierIncarnation() {
        OrderIssuer desk = desk();
        desk.modelOrdered(new ModelOrderFrame(7, 1, 99, 1_000, "m3", List.of()));
        assertTrue(desk.next(reading(0, false, Map.of())).isEmpty());
        assertFalse(desk.isActive());
    }

    @Test
    public void shouldMakeRoomBeforeLoading() {
        OrderIssuer desk = desk();
        desk.modelOrdered(new ModelOrderFrame(7, 1, 1, 9_000, "m3", List.of("m1")));
        Map<String, Set<String>> full = Map.of("m0", Set.of(), "m1", Set.of(), "m2", Set.of());
        assertEquals(desk.next(reading(0, false, full)), Optional.of(new RunnerOrder(false, "m1", "", 0, "i-1")));
        Map<String, Set<String>> room = Map.of("m0", Set.of(), "m2", Set.of());
        assertEquals(desk.next(reading(1, false, room)), Optional.of(new RunnerOrder(true, "m3", "", 1, "i-1")));
    }

    /** Replays a runner that came back empty under another identifier while orders to the former one were lost. */
    @Test
    public void shouldKeepNoRoomForOrdersToAnotherIdentifier() {
        OrderIssuer desk = desk();
        desk.modelOrdered(new ModelOrderFrame(7, 1, 1, 9_000, "m3", List.of()));
        RunnerState former = reading(0, false, Map.of());
        desk.ordered(desk.next(former).orElseThrow(), OrderOutcome.UNKNOWN, former);
        EngineCatalogFrame same = catalog(1);
        desk.catalog(new EngineCatalogFrame(1, "i-2", 2, MEMORY_MB, ADAPTER_SLOTS, same.modelMb(), same.adapterMb()));
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
        desk.modelOrdered(new ModelOrderFrame(7, 2, 2, 9_000, "m4", List.of()));
        assertEquals(desk.next(next), Optional.of(new RunnerOrder(true, "m4", "", 0, "i-2")));
    }

    /** Loses, delays and repeats orders, restarts the runner under its old identifier, and asks for far too much. */
    @Test
    public void shouldNeverOvercommitWhenOrdersAreLostOrLate() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            ManualClock time = new ManualClock(1_000_000_000L);
            FakeEngineRunner runner = new FakeEngineRunner(time, seed);
            OrderIssuer desk = new OrderIssuer(time);
            SplittableRandom random = new SplittableRandom(seed);
            for (int step = 0; step < STEPS; step++) {
                step(runner, desk, random, step);
                time.advanceMillis(random.nextInt(200));
            }
            assertTrue(runner.mostMb <= MEMORY_MB, "seed " + seed + ": " + runner.mostMb + " MB");
            assertTrue(runner.mostAdapters <= ADAPTER_SLOTS, "seed " + seed + ": " + runner.mostAdapters + " adapters");
        }
    }

    private static void step(FakeEngineRunner runner, OrderIssuer desk, SplittableRandom random, int step) {
        if (random.nextInt(60) == 0) {
            runner.restart();
        }
        RunnerState reading = runner.read();
        desk.catalog(catalog(reading.startedAtMillis()));
        if (random.nextInt(4) == 0) {
            desk.adapterUsed("m" + random.nextInt(5), "a" + random.nextInt(6));
        }
        if (random.nextInt(10) == 0) {
            List<String> unload = random.nextBoolean() ? List.of("m" + random.nextInt(5)) : List.of();
            desk.modelOrdered(new ModelOrderFrame(
                    1, step + 1, reading.startedAtMillis(), 4_000, "m" + random.nextInt(5), unload));
        }
        Optional<RunnerOrder> order = desk.next(reading);
        order.ifPresent(given -> desk.ordered(given, runner.order(given), reading));
    }
}
