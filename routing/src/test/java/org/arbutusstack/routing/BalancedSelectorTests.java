package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests for {@link BalancedSelector}. */
public class BalancedSelectorTests {

    private static final String MODEL = "boot-design@v1";

    private static final String ADAPTER = "club-red@v1";

    private static final long SEED = 7;

    private final RunnerSelector selector = RoutingPolicy.BALANCED.selector("regina", SEED);

    private static RunnerView runner(String name, int load, String... adapters) {
        return new RunnerView(name, "stitch-lm", "regina", Set.of(MODEL), Set.of(adapters), load, 0);
    }

    private String choose(RoutingRequest request, RunnerView... runners) {
        return selector.select(request, List.of(runners)).orElseThrow().name();
    }

    @Test
    public void shouldStickToTheAdapterWhenLoadIsEven() {
        RoutingRequest request = new RoutingRequest("stitch-lm", MODEL, ADAPTER);
        for (int round = 0; round < 50; round++) {
            assertEquals(choose(request, runner("a", 3), runner("b", 4, ADAPTER), runner("c", 3)), "b");
        }
    }

    @Test
    public void shouldLeaveTheAdapterWhenItsRunnerIsOverloaded() {
        RoutingRequest request = new RoutingRequest("stitch-lm", MODEL, ADAPTER);
        for (int round = 0; round < 50; round++) {
            assertTrue(!choose(request, runner("a", 3), runner("b", 40, ADAPTER), runner("c", 3))
                    .equals("b"));
        }
    }

    @Test
    public void shouldSendOnePrefixToOneRunnerAndSpreadManyWhenLoadIsEven() {
        Set<String> chosen = new HashSet<>();
        for (int prefix = 1; prefix <= 100; prefix++) {
            RoutingRequest request = new RoutingRequest("stitch-lm", MODEL, "", prefix);
            String first = choose(request, runner("a", 2), runner("b", 2), runner("c", 2));
            assertEquals(choose(request, runner("c", 1), runner("b", 1), runner("a", 1)), first);
            chosen.add(first);
        }
        assertEquals(chosen, Set.of("a", "b", "c"));
    }

    @Test
    public void shouldKeepWithinTheBoundWhenOnePrefixTakesAllRequests() {
        RoutingRequest request = new RoutingRequest("stitch-lm", MODEL, "", 42);
        Map<String, Integer> loads = new HashMap<>(Map.of("a", 0, "b", 0, "c", 0));
        for (int count = 0; count < 300; count++) {
            List<RunnerView> views = new ArrayList<>();
            loads.forEach((name, load) -> views.add(runner(name, load)));
            loads.merge(selector.select(request, views).orElseThrow().name(), 1, Integer::sum);
        }
        loads.forEach((name, load) -> assertTrue(load <= 1.25 * 100 + 3, loads.toString()));
    }

    @Test
    public void shouldSpreadWhenManyEntriesSeeTheSameOldReport() {
        Map<String, Integer> counts = new HashMap<>();
        for (int entry = 0; entry < 60; entry++) {
            RunnerSelector own = RoutingPolicy.BALANCED.selector("regina", entry);
            RoutingRequest request = new RoutingRequest("stitch-lm", MODEL, "");
            List<RunnerView> views = List.of(runner("a", 2), runner("b", 3), runner("c", 3), runner("d", 3));
            counts.merge(own.select(request, views).orElseThrow().name(), 1, Integer::sum);
        }
        assertTrue(counts.get("a") < 40, counts.toString());
    }
}
