package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.gateway.config.EngineModel;
import org.arbutusstack.gateway.config.EngineSpec;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.config.ServedService;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the load forecast after runners have restarted empty, with their weights on disk. */
public class LoadForecastTests {

    private static final String MODEL = "boot-design";

    private static final int IN_MAIN_MEMORY = 1;

    private static final int ON_DISK = 2;

    private final DispatcherHarness harness = new DispatcherHarness();

    private static ServingConfig config() {
        EngineModel model = new EngineModel(MODEL, 70_000, 12, 2_400, 1_600, 1_200);
        EngineSpec spec = new EngineSpec(8, 1_000, 230_000, 8, 2, List.of(model));
        return new ServingConfig(
                1,
                List.of(),
                List.of(new ServedService(DispatcherHarness.ENGINE, 100, "/health", Optional.of(spec))),
                1_000);
    }

    private KnownRunner runner(String id, Map<String, Integer> copies, String loading) {
        if (harness.table.byId(id) == null) {
            harness.runner(id, DispatcherHarness.ENGINE, "other");
        }
        RunnerStatusFrame status = new RunnerStatusFrame(
                1, 0, true, -1, 0, 0, 0, 1, List.of(), List.of(), copies, loading, false, 1, 500, 0);
        harness.table.byId(id).status(status, null);
        return harness.table.byId(id);
    }

    @DataProvider
    Object[][] places() {
        return new Object[][] {
            {Map.of(), "", 600 + 2_400 + 300},
            {Map.of(MODEL, ON_DISK), "", 600 + 1_600 + 300},
            {Map.of(MODEL, IN_MAIN_MEMORY), "", 600 + 1_200 + 300},
            {Map.of(MODEL, ON_DISK), "another", 600 + 2_400 + 300},
            {Map.of(MODEL, ON_DISK), MODEL, 1_600 + 300},
        };
    }

    @Test(dataProvider = "places")
    public void shouldForecastByWeightsLocation(Map<String, Integer> copies, String loading, long expectedMillis) {
        LoadForecast forecast = new LoadForecast(harness.clock);
        forecast.config(config());
        KnownRunner runner = runner("r-" + copies + loading, copies, loading);
        assertEquals(forecast.remainingMillis(DispatcherHarness.ENGINE, MODEL, List.of(runner)), expectedMillis);
    }

    @Test
    public void shouldCountDownWhileTheModelIsLoaded() {
        LoadForecast forecast = new LoadForecast(harness.clock);
        forecast.config(config());
        KnownRunner runner = runner("counted", Map.of(MODEL, ON_DISK), MODEL);
        harness.clock.advanceMillis(900);
        assertEquals(forecast.remainingMillis(DispatcherHarness.ENGINE, MODEL, List.of(runner)), 1_000);
        runner("counted", Map.of(MODEL, ON_DISK), MODEL);
        harness.clock.advanceMillis(900);
        assertEquals(forecast.remainingMillis(DispatcherHarness.ENGINE, MODEL, List.of(runner)), 100);
        runner("counted", Map.of(MODEL, ON_DISK), MODEL);
        harness.clock.advanceMillis(300);
        assertEquals(forecast.remainingMillis(DispatcherHarness.ENGINE, MODEL, List.of(runner)), 500);
    }

    @Test
    public void shouldWaitForTheLoadWhenItEndsBeforeTheCallerTimesOut() {
        DispatcherHarness own = new DispatcherHarness();
        own.dispatcher.config(config());
        own.runner("a", DispatcherHarness.ENGINE, "other");
        RunnerStatusFrame status = new RunnerStatusFrame(
                1,
                0,
                true,
                -1,
                0,
                0,
                0,
                1,
                List.of(),
                List.of(),
                Map.of(MODEL, IN_MAIN_MEMORY),
                MODEL,
                false,
                1,
                500,
                0);
        own.table.byId("a").status(status, null);
        own.clock.advanceMillis(700);
        own.table.byId("a").status(status, null);
        FakeCaller caller =
                own.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), MODEL);
        assertTrue(caller.refusal == null, "refused: " + caller.refusal);
        own.clock.advanceMillis(500);
        RunnerStatusFrame.HeldModel held = new RunnerStatusFrame.HeldModel(MODEL, 1, List.of());
        own.table
                .byId("a")
                .status(
                        new RunnerStatusFrame(
                                1, 1, true, -1, 0, 0, 0, 1, List.of(held), List.of(), Map.of(), "", false, 1, 500, 0),
                        null);
        own.dispatcher.tick();
        assertEquals(own.runners.sent.size(), 1);
        assertEquals(Set.of("a"), Set.of(own.runners.last().runner.id()));
    }
}
