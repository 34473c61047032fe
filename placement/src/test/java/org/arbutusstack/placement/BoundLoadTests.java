package org.arbutusstack.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which runners of one software version load a model that runners of another version hold. */
public class BoundLoadTests {

    private static final int MAX_FROM_STORE = 3;

    private static final Map<String, EngineFleet.Model> MODELS =
            Map.of("a", model("a"), "b", model("b"), "c", model("c"), "d", model("d"));

    private static final Map<String, EngineFleet.ModelDemand> DEMAND =
            Map.of("a", used(9), "b", used(20), "c", used(0), "d", used(40));

    private final FleetPlanner planner = new FleetPlanner(12, 4_000);

    private static EngineFleet.Model model(String name) {
        return new EngineFleet.Model(name, 70);
    }

    private static EngineFleet.Runner runner(String name, String... held) {
        return new EngineFleet.Runner(name, "z", 230, 8, Set.of(held), false, 0, Map.of());
    }

    private static EngineFleet.ModelDemand used(double requests) {
        return new EngineFleet.ModelDemand(requests, 0, 0);
    }

    private static EngineFleet fleet(EngineFleet.Runner... runners) {
        return new EngineFleet(48, MODELS, List.of(runners), DEMAND);
    }

    private List<ModelMove> decide(EngineFleet fleet, List<ModelMove> decided, String... names) {
        return planner.decide(fleet, decided, Set.of(names), Map.of("a", 1), MAX_FROM_STORE);
    }

    /** Guards against a stream that waits for ever: its model has a copy, but at another version. */
    @Test
    public void shouldLoadModelWhereOnlyOtherRunnersHoldIt() {
        EngineFleet fleet = fleet(runner("old", "a"), runner("new", "b"));
        assertEquals(decide(fleet, List.of(), "new"), List.of(new ModelMove("new", "a", List.of(), true)));
        assertTrue(decide(fleet, List.of(), "old", "new").isEmpty());
    }

    /** Guards against taking away copies that other requests need, on this runner or elsewhere (padana-badge). */
    @Test
    public void shouldUnloadOnlyCopiesThatAreNotNeeded() {
        EngineFleet fleet = fleet(
                runner("old", "a", "d"),
                runner("new", "b", "c", "d"),
                runner("newer", "b", "d"),
                runner("newest", "d"));
        assertEquals(decide(fleet, List.of(), "new"), List.of(new ModelMove("new", "a", List.of("c"), true)));
        EngineFleet.Runner full = new EngineFleet.Runner("new", "z", 150, 8, Set.of("b", "d"), false, 0, Map.of());
        assertTrue(decide(fleet(runner("old", "a", "d"), full, runner("newer", "d")), List.of(), "new")
                .isEmpty());
    }

    /** Guards against a second order for a runner that has just been given one. */
    @Test
    public void shouldLeaveRunnerAloneThatHasBeenGivenAnOrder() {
        EngineFleet fleet = fleet(runner("old", "a"), runner("new", "b"), runner("newer", "b"));
        List<ModelMove> decided = List.of(new ModelMove("new", "d", List.of(), true));
        assertEquals(decide(fleet, decided, "new", "newer"), List.of(new ModelMove("newer", "a", List.of(), true)));
    }

    /** Guards against more loads from the weight store than it allows. */
    @Test
    public void shouldKeepLimitOfWeightStore() {
        EngineFleet fleet = fleet(runner("old", "a"), runner("new", "b"));
        assertTrue(planner.decide(fleet, List.of(), Set.of("new"), Map.of("a", 1), 0)
                .isEmpty());
    }
}
