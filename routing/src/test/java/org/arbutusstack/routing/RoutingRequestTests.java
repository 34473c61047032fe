package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link RoutingRequest}. */
public class RoutingRequestTests {

    @DataProvider
    Object[][] holdings() {
        return new Object[][] {
            {"m@v2", "m@v2 m@v1 m@v1", "m@v2"},
            {"m@v2", "m@v1 m@v1 m@v0", "m@v1"},
            {"m@v2", "m@v0 m@v1", "m@v1"},
            {"m@v2", "mm@v1", "m@v2"},
            {"m@v2", "", "m@v2"},
            {"", "m@v1", ""}
        };
    }

    @Test(dataProvider = "holdings")
    public void shouldAskForHeldVersionWhenNoRunnerHoldsTheOneAsked(String asked, String held, String expected) {
        List<RunnerView> runners = Arrays.stream(held.split(" "))
                .filter(key -> !key.isEmpty())
                .map(key -> new RunnerView("r", "lm", "regina", Set.of(key), Set.of(), 0, 0))
                .toList();
        assertEquals(
                new RoutingRequest("lm", asked, "")
                        .withAvailableVersion(runners)
                        .modelKey(),
                expected);
    }

    @Test
    public void shouldNotAskAnotherServiceWhenItHoldsTheModel() {
        RunnerView other = new RunnerView("r", "other", "regina", Set.of("m@v1"), Set.of(), 0, 0);
        assertEquals(
                new RoutingRequest("lm", "m@v2", "")
                        .withAvailableVersion(List.of(other))
                        .modelKey(),
                "m@v2");
    }
}
