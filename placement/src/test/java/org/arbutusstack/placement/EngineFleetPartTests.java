package org.arbutusstack.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which runners of one software version load a model that runners of another version hold. */
public class EngineFleetPartTests {

    private static final int MAX_FROM_STORE = 3;

    private static final Map<String, EngineFleet.Model> MODELS =
            Map.of("a", model("a"), "b", model("b"), "c", model("c"), "d", model("d"));

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
        Map<String, EngineFleet.ModelDemand> demand = Map.of("a", used(9), "b", used(9), "c", used(0), "d", used(40));
        return new EngineFleet(48, MODELS, List.of(runners), demand);
    }

    private List<ModelMove> decide(EngineFleet fleet, Set<String> names, Set<String> occupied) {
        return planner.decide(fleet.part(names, occupied, Map.of("a", 1)), MAX_FROM_STORE);
    }

    /** Guards against a stream that waits for ever: its model has a copy, but at another version. */
    @Test
    public void shouldLoadOnlyWaitedForModelWhereOnlyOtherRunnersHoldIt() {
        EngineFleet fleet = fleet(runner("old", "a"), runner("new", "b"));
        assertTrue(planner.decide(new EngineFleet(48, MODELS, fleet.runners(), Map.of("a", used(9))), 3)
                .isEmpty());
        assertEquals(decide(fleet, Set.of("new"), Set.of()), List.of(new ModelMove("new", "a", List.of(), true)));
    }

    /** Guards against taking a model that serves others away from the only runner of the version. */
    @Test
    public void shouldUnloadOnlyModelsThatAreNotInUse() {
        EngineFleet fleet = fleet(runner("old", "a"), runner("new", "b", "c", "d"));
        assertEquals(decide(fleet, Set.of("new"), Set.of()), List.of(new ModelMove("new", "a", List.of("c"), true)));
        EngineFleet full = fleet(
                runner("old", "a"), new EngineFleet.Runner("new", "z", 150, 8, Set.of("b", "d"), false, 0, Map.of()));
        assertTrue(decide(full, Set.of("new"), Set.of()).isEmpty());
    }

    /** Guards against a second order for a runner that has just been given one. */
    @Test
    public void shouldLeaveOccupiedRunnerAlone() {
        EngineFleet fleet = fleet(runner("old", "a"), runner("new", "b"), runner("newer", "b"));
        assertEquals(
                decide(fleet, Set.of("new", "newer"), Set.of("new")),
                List.of(new ModelMove("newer", "a", List.of(), true)));
    }
}
