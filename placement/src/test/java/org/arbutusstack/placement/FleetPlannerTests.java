package org.arbutusstack.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which engine loads what when models want more room than there is. */
public class FleetPlannerTests {

    private static final long LONG_IDLE_MILLIS = 60_000;

    private static final Map<String, EngineFleet.Model> MODELS =
            Map.of("a", model("a"), "b", model("b"), "c", model("c"), "d", model("d"), "e", model("e"));

    private final FleetPlanner planner = new FleetPlanner(12, 4_000);

    private static EngineFleet.Model model(String name) {
        return new EngineFleet.Model(name, 70);
    }

    private static EngineFleet.Runner runner(String name, boolean busy, String... held) {
        return new EngineFleet.Runner(name, "z", 230, 8, Set.of(held), busy, 0, Map.of());
    }

    private static EngineFleet.ModelDemand asked(double requests, int waiting) {
        return new EngineFleet.ModelDemand(requests, waiting, 0);
    }

    private static EngineFleet.ModelDemand idle(long idleMillis) {
        return new EngineFleet.ModelDemand(0, 0, idleMillis);
    }

    private List<ModelMove> decide(List<EngineFleet.Runner> runners, Map<String, EngineFleet.ModelDemand> demand) {
        return planner.decide(new EngineFleet(48, MODELS, runners, demand), 3);
    }

    @Test
    public void shouldLoadMissingModelWhereRoomIs() {
        List<ModelMove> moves =
                decide(List.of(runner("r1", false, "a", "b", "c"), runner("r2", false, "a")), Map.of("d", asked(1, 1)));
        assertEquals(moves, List.of(new ModelMove("r2", "d", List.of(), true)));
    }

    @Test
    public void shouldMoveNothingWhenNobodyWaitsAndCopiesSuffice() {
        assertTrue(decide(List.of(runner("r1", false, "a", "b")), Map.of("a", asked(14, 0)))
                .isEmpty());
    }

    @Test
    public void shouldTakeRoomOfTheModelIdleForLongestWhenNoneIsSpare() {
        Map<String, EngineFleet.ModelDemand> demand =
                Map.of("a", asked(5, 0), "b", idle(1_000), "c", idle(LONG_IDLE_MILLIS), "d", asked(0, 3));
        List<ModelMove> moves = decide(List.of(runner("r1", false, "a", "b", "c")), demand);
        assertEquals(moves, List.of(new ModelMove("r1", "d", List.of("c"), true)));
    }

    @Test
    public void shouldNeverTakeLastCopyOfAModelInUse() {
        Map<String, EngineFleet.ModelDemand> demand =
                Map.of("a", asked(5, 0), "b", asked(1, 0), "c", asked(2, 0), "d", asked(9, 9));
        assertTrue(decide(List.of(runner("r1", false, "a", "b", "c")), demand).isEmpty());
    }

    @Test
    public void shouldAddCopyWhenCopiesAreCrowded() {
        Map<String, EngineFleet.ModelDemand> demand = Map.of("a", asked(40, 0), "b", idle(LONG_IDLE_MILLIS));
        List<ModelMove> moves = decide(List.of(runner("r1", false, "a"), runner("r2", false, "b", "c", "d")), demand);
        assertEquals(moves.get(0).load(), "a");
    }

    /** Replays a shift of demand: unloading a busy copy holds up the load until its requests have ended. */
    @Test
    public void shouldRatherTakeIdleModelThanBusySpareCopy() {
        Map<String, EngineFleet.ModelDemand> demand =
                Map.of("a", asked(10, 0), "b", idle(LONG_IDLE_MILLIS), "c", asked(2, 0), "d", asked(0, 4));
        List<ModelMove> moves = decide(List.of(runner("r1", false, "a", "b", "c"), runner("r2", true, "a")), demand);
        assertEquals(moves, List.of(new ModelMove("r1", "d", List.of("b"), true)));
    }

    @Test
    public void shouldWaitWhenTheWeightStoreIsAtItsRate() {
        EngineFleet fleet = new EngineFleet(48, MODELS, List.of(runner("r1", false, "a")), Map.of("d", asked(0, 1)));
        assertTrue(planner.decide(fleet, 0).isEmpty());
    }

    /** Replays a burst on one model while rare ones are asked for: the weight store lets one load begin. */
    @Test
    public void shouldRelieveTheMostRequestsWhenLoadsAreFew() {
        List<EngineFleet.Runner> runners = List.of(runner("r1", false, "a", "b"), runner("r2", false, "b", "c"));
        Map<String, EngineFleet.ModelDemand> burst = Map.of("a", asked(54, 0), "d", asked(1, 1));
        List<ModelMove> moves = planner.decide(new EngineFleet(48, MODELS, runners, burst), 1);
        assertEquals(moves, List.of(new ModelMove("r2", "a", List.of(), true)));
        Map<String, EngineFleet.ModelDemand> gathered = Map.of("a", asked(30, 0), "d", asked(4, 4));
        moves = planner.decide(new EngineFleet(48, MODELS, runners, gathered), 1);
        assertEquals(moves.get(0).load(), "d");
    }

    /** Replays a return from a loss of all hosts: callers gather before the smoothed demand shows them. */
    @Test
    public void shouldAddCopyWhenMoreWaitThanOneCopyServes() {
        Map<String, EngineFleet.ModelDemand> demand = Map.of("a", asked(3, 40));
        List<ModelMove> moves = decide(List.of(runner("r1", true, "a"), runner("r2", false)), demand);
        assertEquals(moves, List.of(new ModelMove("r2", "a", List.of(), true)));
    }

    /** Replays large trouble-1: 16 slots a runner, three models in each; one model fills a runner of its own. */
    @Test
    public void shouldSpreadAModelThatFillsTheFewSlotsOfItsRunner() {
        Map<String, EngineFleet.ModelDemand> demand =
                Map.of("a", asked(18, 0), "b", idle(LONG_IDLE_MILLIS), "c", idle(LONG_IDLE_MILLIS));
        List<EngineFleet.Runner> runners = List.of(runner("r1", false, "a"), runner("r2", false, "b", "c", "d"));
        List<ModelMove> moves = planner.decide(new EngineFleet(16, MODELS, runners, demand), 3);
        assertEquals(moves.size(), 1, moves.toString());
        assertEquals(moves.get(0).load(), "a");
        assertTrue(planner.decide(new EngineFleet(64, MODELS, runners, Map.of("a", asked(14, 0))), 3)
                .isEmpty());
    }

    /**
     * Replays large trouble-1 at 6 s: one model with 45 requests on four runners of 16 slots got one further copy every
     * three seconds, though models idle for long lay on the others.
     */
    @Test
    public void shouldGiveACrowdedModelFurtherCopiesAtEachDecision() {
        List<EngineFleet.Runner> runners = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            runners.add(new EngineFleet.Runner("h" + index, "z", 230, 8, Set.of("a"), false, 16, Map.of()));
        }
        for (int index = 0; index < 4; index++) {
            Set<String> held = Set.of("b", "c", "d");
            runners.add(new EngineFleet.Runner("i" + index, "z", 230, 8, held, false, 3, Map.of()));
        }
        Map<String, EngineFleet.ModelDemand> demand =
                Map.of("a", asked(45, 0), "b", asked(3, 0), "c", asked(3, 0), "d", asked(3, 0));
        int copies = 4;
        for (int decision = 0; decision < 3; decision++) {
            List<ModelMove> moves = planner.decide(new EngineFleet(16, MODELS, runners, demand), 3);
            if (!moves.isEmpty()) {
                String taken = moves.get(0).runner();
                runners.replaceAll(runner -> runner.name().equals(taken)
                        ? new EngineFleet.Runner(taken, "z", 230, 8, Set.of("a", "b", "c"), true, 3, Map.of())
                        : runner);
                copies++;
            }
        }
        assertEquals(copies, 7);
    }

    /** Replays the return after all were killed: callers wait for models that the last planner had counted. */
    @Test
    public void shouldLoadModelsOfKnownDemandBeforeCallersWait() {
        Map<String, EngineFleet.ModelDemand> demand = Map.of("a", asked(7, 0), "b", asked(0.4, 0), "c", asked(2, 0));
        List<ModelMove> moves = decide(List.of(runner("r1", false), runner("r2", false)), demand);
        assertEquals(moves.stream().map(ModelMove::load).toList(), List.of("a", "c"));
    }

    /** Replays large trouble-1, 35.5 s: a total loss; copies that nobody waited for took the hot model's runners. */
    @Test
    public void shouldGiveHotModelSeveralCopiesBeforeIdleOnesTheirFirstAfterTotalLoss() {
        Map<String, Integer> onDisk = Map.of("a", 2, "b", 2, "c", 2, "d", 2, "e", 2);
        List<EngineFleet.Runner> runners = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            runners.add(new EngineFleet.Runner("r" + number, "z", 80, 8, Set.of(), false, 0, onDisk));
        }
        Map<String, EngineFleet.ModelDemand> demand =
                Map.of("a", asked(16, 32), "b", asked(6, 10), "c", asked(1.5, 0), "d", asked(1.5, 0), "e", asked(1, 1));
        List<ModelMove> moves = planner.decide(new EngineFleet(16, MODELS, runners, demand), 3);
        List<String> loads = moves.stream().map(ModelMove::load).toList();
        assertEquals(loads.subList(0, 2), List.of("a", "b"));
        assertTrue(loads.stream().filter("a"::equals).count() >= 3, loads.toString());
    }
}
