package org.arbutusstack.bench.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link TraceFactory}. */
public class TraceFactoryTests {

    private static Workload workload(Scenario scenario) {
        return new Workload(100, 100, 25, 65, scenario);
    }

    @Test
    public void shouldRepeatTraceWhenSeedsAreEqual() {
        assertEquals(
                TraceFactory.of(1, 7, workload(Scenario.STEADY)), TraceFactory.of(1, 7, workload(Scenario.STEADY)));
        assertNotEquals(
                TraceFactory.of(1, 7, workload(Scenario.STEADY)), TraceFactory.of(1, 8, workload(Scenario.STEADY)));
    }

    @DataProvider
    Object[][] scenarios() {
        return new Object[][] {{Scenario.STEADY}, {Scenario.SHIFT}, {Scenario.BURST}};
    }

    @Test(dataProvider = "scenarios")
    public void shouldKeepRateAndMeanTokensWhenDemandMoves(Scenario scenario) {
        List<Arrival> trace = TraceFactory.of(1, 7, workload(scenario));
        assertTrue(Math.abs(trace.size() - 10_000) < 500, "requests " + trace.size());
        double mean = trace.stream().mapToInt(Arrival::tokens).average().orElseThrow();
        assertEquals(mean, TraceFactory.MEAN_TOKENS, 0.5);
    }

    @Test
    public void shouldAskForAnotherModelMostWhenDemandShifts() {
        List<Arrival> trace = TraceFactory.of(1, 7, workload(Scenario.SHIFT));
        assertNotEquals(mostRequestedModel(trace, 0, 50), mostRequestedModel(trace, 50, 100));
    }

    @Test
    public void shouldSendHalfToTwoModelsWhenBurstIsOn() {
        List<Arrival> trace = TraceFactory.of(1, 7, workload(Scenario.BURST));
        List<Long> counts = requestsByModel(trace, 34, 66).values().stream()
                .sorted(java.util.Comparator.reverseOrder())
                .toList();
        long total = counts.stream().mapToLong(Long::longValue).sum();
        assertTrue(counts.get(0) + counts.get(1) > total * 0.45, counts.toString());
    }

    private static String mostRequestedModel(List<Arrival> trace, long fromSeconds, long toSeconds) {
        return requestsByModel(trace, fromSeconds, toSeconds).entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    private static Map<String, Long> requestsByModel(List<Arrival> trace, long fromSeconds, long toSeconds) {
        return trace.stream()
                .filter(arrival -> arrival.atNanos() >= TimeUnit.SECONDS.toNanos(fromSeconds))
                .filter(arrival -> arrival.atNanos() < TimeUnit.SECONDS.toNanos(toSeconds))
                .collect(Collectors.groupingBy(TraceFactoryTests::modelOf, Collectors.counting()));
    }

    private static String modelOf(Arrival arrival) {
        String target = arrival.target();
        int number = Integer.parseInt(target.substring(target.indexOf('-') + 1));
        return "model-" + number % 25;
    }
}
