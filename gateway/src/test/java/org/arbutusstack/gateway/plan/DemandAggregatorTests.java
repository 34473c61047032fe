package org.arbutusstack.gateway.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.placement.EngineFleet;
import org.arbutusstack.wire.frame.ModelDemandFrame;
import org.testng.annotations.Test;

/** Tests the demand that a planner uses, and the record that is persisted for the next planner. */
public class DemandAggregatorTests {

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private static String text(DemandRecord record) {
        return new String(record.encode(), StandardCharsets.UTF_8);
    }

    @Test
    public void shouldDecodeWhatItEncodes() {
        DemandRecord record = DemandRecord.of(Map.of("s", Map.of("m1", 7.4, "m2", 2.0, "m3", 0.7)));
        assertEquals(record.requests(), Map.of("s", Map.of("m1", 7, "m2", 2)));
        assertEquals(DemandRecord.decode(text(record)), record);
    }

    @Test
    public void shouldSkipMalformedLines() {
        DemandRecord record = DemandRecord.decode("s m1 7\nnonsense\ns m2 many\n\ns m3 3 4\ns m4 9999999999");
        assertEquals(record.requests(), Map.of("s", Map.of("m1", 7)));
        assertTrue(DemandRecord.decode("").isEmpty());
    }

    @Test
    public void shouldBeSimilarWhenMostRequestsAreForTheSameModels() {
        DemandRecord three = DemandRecord.decode("s a 9\ns b 5\ns c 2");
        assertTrue(DemandRecord.decode("s a 9\ns b 6").isSimilarTo(three));
        assertFalse(DemandRecord.decode("s a 2\ns b 5\ns c 20").isSimilarTo(three));
        assertFalse(three.isSimilarTo(DemandRecord.EMPTY));
    }

    /** Guards against an idle start after all processes were killed, when no entry has reported demand yet. */
    @Test
    public void shouldRestorePersistedDemandAndLetItDecay() {
        DemandAggregator aggregator = new DemandAggregator(clock);
        aggregator.restore("s", DemandRecord.decode("s a 69\ns c 2"));
        Map<String, EngineFleet.ModelDemand> demand = aggregator.demand("s", Set.of("a", "b", "c"));
        assertTrue(demand.get("a").requests() > 4 && demand.get("a").requests() <= 5, demand.toString());
        assertEquals(demand.get("b").requests(), 0.0);
        assertTrue(demand.get("c").requests() >= 1, demand.toString());
        clock.advanceMillis(9_000);
        assertTrue(aggregator.demand("s", Set.of("a", "b")).get("a").requests() < 1);
    }

    /** Guards against one time stamp for all services: the second service of each round was smoothed over zero time. */
    @Test
    public void shouldSmoothEachServiceSeparately() {
        DemandAggregator aggregator = new DemandAggregator(clock);
        for (int round = 0; round < 10; round++) {
            aggregator.receive(new ModelDemandFrame("e", "s", Map.of("m", 6), Map.of()));
            aggregator.receive(new ModelDemandFrame("e", "t", Map.of("m", 3), Map.of()));
            clock.advanceMillis(200);
            aggregator.demand("s", Set.of("m"));
            aggregator.demand("t", Set.of("m"));
        }
        assertTrue(aggregator.demand("s", Set.of("m")).get("m").requests() > 5);
        double second = aggregator.demand("t", Set.of("m")).get("m").requests();
        assertTrue(second > 2.5 && second <= 3, "second " + second);
    }
}
