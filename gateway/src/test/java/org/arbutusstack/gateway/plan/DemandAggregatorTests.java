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

/** Tests the demand that a planner reckons with, and what is kept of it for the next one. */
public class DemandAggregatorTests {

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private static String text(DemandRecord record) {
        return new String(record.encode(), StandardCharsets.UTF_8);
    }

    @Test
    public void shouldReadWhatItWrites() {
        DemandRecord record = DemandRecord.of(Map.of("s", Map.of("m1", 7.4, "m2", 2.0, "m3", 0.7)));
        assertEquals(record.requests(), Map.of("s", Map.of("m1", 7, "m2", 2)));
        assertEquals(DemandRecord.decode(text(record)), record);
    }

    @Test
    public void shouldPassOverLinesThatCannotBeRead() {
        DemandRecord record = DemandRecord.decode("s m1 7\nnonsense\ns m2 many\n\ns m3 3 4\ns m4 9999999999");
        assertEquals(record.requests(), Map.of("s", Map.of("m1", 7)));
        assertTrue(DemandRecord.decode("").isEmpty());
    }

    @Test
    public void shouldBeNearWhileMostRequestsAreForTheSameModels() {
        DemandRecord three = DemandRecord.decode("s a 9\ns b 5\ns c 2");
        assertTrue(DemandRecord.decode("s a 9\ns b 6").isNear(three));
        assertFalse(DemandRecord.decode("s a 2\ns b 5\ns c 20").isNear(three));
        assertFalse(three.isNear(DemandRecord.EMPTY));
    }

    /** Replays the return after all processes were killed: nobody has told any demand yet. */
    @Test
    public void shouldRecallKeptDemandAndLetItFall() {
        DemandAggregator book = new DemandAggregator(clock);
        book.recall("s", DemandRecord.decode("s a 69\ns c 2"));
        Map<String, EngineFleet.ModelDemand> demand = book.demand("s", Set.of("a", "b", "c"));
        assertTrue(demand.get("a").requests() > 4 && demand.get("a").requests() <= 5, demand.toString());
        assertEquals(demand.get("b").requests(), 0.0);
        assertTrue(demand.get("c").requests() >= 1, demand.toString());
        clock.advanceMillis(9_000);
        assertTrue(book.demand("s", Set.of("a", "b")).get("a").requests() < 1);
    }

    /** Two services with engines: the second of each round was smoothed over no time at all. */
    @Test
    public void shouldSmoothEachServiceByItself() {
        DemandAggregator book = new DemandAggregator(clock);
        for (int round = 0; round < 10; round++) {
            book.receive(new ModelDemandFrame("e", "s", Map.of("m", 6), Map.of()));
            book.receive(new ModelDemandFrame("e", "t", Map.of("m", 3), Map.of()));
            clock.advanceMillis(200);
            book.demand("s", Set.of("m"));
            book.demand("t", Set.of("m"));
        }
        assertTrue(book.demand("s", Set.of("m")).get("m").requests() > 5);
        double second = book.demand("t", Set.of("m")).get("m").requests();
        assertTrue(second > 2.5 && second <= 3, "second " + second);
    }
}
