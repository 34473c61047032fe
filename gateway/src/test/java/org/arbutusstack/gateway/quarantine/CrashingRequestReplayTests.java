package org.arbutusstack.gateway.quarantine;

import static org.testng.Assert.assertTrue;

import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays loads in which requests crash the servers of a plain service, with the delays of real ones, on the decisions
 * of entries. Guards against sending such a request for too long, and against refusing sound ones.
 */
public class CrashingRequestReplayTests {

    /** The users' rule: arrivals of the request later than three seconds after its third crash. */
    private static final int MAX_LATE_ARRIVALS = 3;

    /** The users' bound on proper requests that are refused: five and one in five hundred. */
    private static final int REFUSALS_ALLOWED = 5;

    private static final int REQUESTS_PER_REFUSAL = 500;

    private static final int SEEDS = 100;

    @DataProvider
    public Object[][] loads() {
        PlainServiceLoad load = new PlainServiceLoad(5, 3, 20, 10, 4, 1, 0, 0);
        PlainServiceLoad frequent = new PlainServiceLoad(5, 3, 4, 10, 8, 1, 0, 0);
        return new Object[][] {
            {"padana-badge", new PlainServiceLoad(5, 3, 4, 10, 2, 1, 0, 0)},
            {"harmful requests are frequent", frequent},
            {"most sound requests are repeated", new PlainServiceLoad(5, 3, 20, 2, 2, 1, 0, 0)},
            {"three harmful requests", new PlainServiceLoad(5, 3, 4, 10, 4, 3, 0, 0)},
            {"grown", new PlainServiceLoad(27, 4, 26, 65, 6, 1, 0, 0)},
            {"a popular request", load.withPopular(0.7)},
            {"servers also fail together", load.withFailures(0.2)},
            {
                "a popular request, servers also fail together",
                load.withPopular(0.7).withFailures(0.2)
            },
            {"twelve servers", new PlainServiceLoad(33, 12, 60, 150, 10, 2, 0, 0)},
            {"restarts are listed late", frequent.with(PlainServiceLoad.Trouble.LISTED_LATE)},
            {"sides are lost", frequent.with(PlainServiceLoad.Trouble.SIDES_LOST)}
        };
    }

    /** Guards against sound requests that are lost on the same servers taking the blame of the harmful one. */
    @Test(dataProvider = "loads")
    public void shouldKeepHarmfulRequestFromServersWhenSoundOnesAreLostBesideIt(String name, PlainServiceLoad load) {
        List<PlainServiceReplay.Result> results = IntStream.range(0, SEEDS)
                .mapToObj(seed -> new PlainServiceReplay(load, seed).run())
                .toList();
        String seen = summaryOf(name, results);
        System.out.println(seen);
        for (PlainServiceReplay.Result result : results) {
            assertTrue(result.lateArrivals() <= MAX_LATE_ARRIVALS, seen);
            assertTrue(result.soundRefused() <= REFUSALS_ALLOWED + result.sound() / REQUESTS_PER_REFUSAL, seen);
        }
    }

    /** Guards against a request that is never blamed since its callers leave before it crashes the server. */
    @Test
    public void shouldKeepHarmfulRequestFromServersWhenItsCallersLeave() {
        PlainServiceLoad load = new PlainServiceLoad(5, 3, 4, 10, 2, 1, 0, 0);
        shouldKeepHarmfulRequestFromServersWhenSoundOnesAreLostBesideIt(
                "callers leave", load.with(PlainServiceLoad.Trouble.CALLERS_LEAVE));
    }

    /** The same where copies of the request often crash servers within moments of each other. */
    @Test
    public void shouldKeepFrequentHarmfulRequestFromServersWhenItsCallersLeave() {
        PlainServiceLoad load = new PlainServiceLoad(5, 3, 4, 10, 8, 1, 0, 0);
        shouldKeepHarmfulRequestFromServersWhenSoundOnesAreLostBesideIt(
                "harmful requests are frequent, callers leave", load.with(PlainServiceLoad.Trouble.CALLERS_LEAVE));
    }

    @DataProvider
    public Object[][] soundLoads() {
        PlainServiceLoad load = new PlainServiceLoad(5, 3, 20, 10, 0, 0, 0, 0.3);
        return new Object[][] {
            {"servers fail together", load},
            {"a popular request, servers fail together", load.withPopular(0.7)},
            {"large, servers fail together", new PlainServiceLoad(33, 12, 60, 150, 0, 0, 0.5, 0.3)}
        };
    }

    /** Guards against what was in flight when all servers failed together being taken for the cause. */
    @Test(dataProvider = "soundLoads")
    public void shouldRefuseNothingWhenServersFailTogether(String name, PlainServiceLoad load) {
        shouldKeepHarmfulRequestFromServersWhenSoundOnesAreLostBesideIt(name, load);
    }

    private static String summaryOf(String name, List<PlainServiceReplay.Result> results) {
        IntSummaryStatistics late = results.stream()
                .mapToInt(PlainServiceReplay.Result::lateArrivals)
                .summaryStatistics();
        IntSummaryStatistics refused = results.stream()
                .mapToInt(PlainServiceReplay.Result::soundRefused)
                .summaryStatistics();
        long broken = results.stream()
                .filter(result -> result.lateArrivals() > MAX_LATE_ARRIVALS)
                .count();
        return String.format(
                Locale.ROOT,
                "%s: %d of %d seeds late, arrivals too late mean %.2f most %d, sound refused mean %.2f most %d of %.0f,"
                        + " crashes %.1f, servers up %.3f",
                name,
                broken,
                results.size(),
                late.getAverage(),
                late.getMax(),
                refused.getAverage(),
                refused.getMax(),
                mean(results, PlainServiceReplay.Result::sound),
                mean(results, PlainServiceReplay.Result::crashes),
                mean(results, PlainServiceReplay.Result::upShare));
    }

    private static double mean(
            List<PlainServiceReplay.Result> results, ToDoubleFunction<PlainServiceReplay.Result> figure) {
        return results.stream().mapToDouble(figure).average().orElse(0);
    }
}
