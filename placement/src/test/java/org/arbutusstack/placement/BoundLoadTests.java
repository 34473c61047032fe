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

    private List<ModelMove> decide(EngineFleet fleet, int maxFromStore, String... names) {
        BoundDemand bound = new BoundDemand(Set.of(names), Map.of("a", 1));
        return planner.decide(fleet, List.of(bound), maxFromStore);
    }

    /** Return the loads of the model that requests of one version wait for. */
    private List<ModelMove> boundLoads(EngineFleet fleet, String... names) {
        return decide(fleet, MAX_FROM_STORE, names).stream()
                .filter(move -> move.load().equals("a"))
                .toList();
    }

    /** Guards against a stream that waits for ever: its model has a copy, but at another version. */
    @Test
    public void shouldLoadModelWhereOnlyOtherRunnersHoldIt() {
        List<EngineFleet.Runner> runners = List.of(runner("old", "a"), runner("new", "b"));
        EngineFleet fleet = new EngineFleet(48, MODELS, runners, Map.of("a", used(9), "b", used(9)));
        assertTrue(planner.decide(fleet, MAX_FROM_STORE).isEmpty());
        assertEquals(decide(fleet, MAX_FROM_STORE, "new"), List.of(new ModelMove("new", "a", List.of(), true)));
        assertTrue(decide(fleet, MAX_FROM_STORE, "old", "new").isEmpty());
    }

    /** Guards against taking away copies that other requests need, on this runner or elsewhere (padana-badge). */
    @Test
    public void shouldUnloadOnlyCopiesThatAreNotNeeded() {
        EngineFleet fleet = fleet(
                runner("old", "a", "d"),
                runner("new", "b", "c", "d"),
                runner("newer", "b", "d"),
                runner("newest", "d"));
        assertEquals(boundLoads(fleet, "new"), List.of(new ModelMove("new", "a", List.of("c"), true)));
        EngineFleet.Runner full = new EngineFleet.Runner("new", "z", 150, 8, Set.of("b", "d"), false, 0, Map.of());
        assertTrue(boundLoads(fleet(runner("old", "a", "d"), full, runner("newer", "d")), "new")
                .isEmpty());
    }

    /** Guards against loads for one bound request that go before those for a model whose callers all wait. */
    @Test
    public void shouldLoadModelFirstForWhichMostRequestsWait() {
        Map<String, EngineFleet.ModelDemand> demand = Map.of("a", used(9), "c", new EngineFleet.ModelDemand(5, 5, 0));
        EngineFleet fleet =
                new EngineFleet(48, MODELS, List.of(runner("old", "a"), runner("new", "b"), runner("newer")), demand);
        List<ModelMove> moves = decide(fleet, 2, "new", "newer");
        assertEquals(moves.stream().map(ModelMove::load).toList(), List.of("c", "a"));
        assertEquals(decide(fleet, 1, "new", "newer").get(0).load(), "c");
        BoundDemand more = new BoundDemand(Set.of("new", "newer"), Map.of("a", 8));
        assertEquals(planner.decide(fleet, List.of(more), 1).get(0).load(), "a");
    }

    /** Guards against two loads of a model that nobody holds, one of them at the wrong version. */
    @Test
    public void shouldLoadMissingModelOnceWhereBoundRequestsCanUseIt() {
        Map<String, EngineFleet.ModelDemand> demand = Map.of("a", new EngineFleet.ModelDemand(5, 5, 0));
        EngineFleet fleet = new EngineFleet(48, MODELS, List.of(runner("old"), runner("new", "b")), demand);
        assertEquals(decide(fleet, MAX_FROM_STORE, "new"), List.of(new ModelMove("new", "a", List.of(), true)));
    }

    /** Guards against more loads from the weight store than it allows. */
    @Test
    public void shouldKeepLimitOfWeightStore() {
        EngineFleet fleet = fleet(runner("old", "a"), runner("new", "b"));
        assertTrue(decide(fleet, 0, "new").isEmpty());
    }
}
