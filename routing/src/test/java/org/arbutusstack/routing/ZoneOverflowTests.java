package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests single decisions of {@link ZoneOverflow}; the replays test its shares under load. */
public class ZoneOverflowTests {

    private static final long USUAL_BYTES = 1_000;

    private ZoneOverflow overflow;

    private long nowNanos;

    @BeforeMethod
    public void start() {
        overflow = new ZoneOverflow("home", 20);
        nowNanos = 0;
    }

    private static RunnerOutlook runner(String zone, double millis) {
        return new RunnerOutlook(zone, millis, 1, 16, false);
    }

    private ZoneDecision decide(double draw, long sizeBytes, long timeLeftMillis, RunnerOutlook... runners) {
        nowNanos += 10 * Clock.NANOS_PER_MILLI;
        return overflow.decide("s/m", List.of(runners), new ZoneDemand(draw, sizeBytes, timeLeftMillis), nowNanos);
    }

    /** Let half of the requests leave for a zone. */
    private void raiseShare() {
        for (int request = 0; request < 100; request++) {
            decide(0.99, USUAL_BYTES, 400, runner("home", 300), runner("other", 60));
        }
    }

    /** Guards against two zones of which each finds the other one a little faster. */
    @Test
    public void shouldStayWhenGainIsBelowPenalty() {
        for (int request = 0; request < 1_000; request++) {
            ZoneDecision decision = decide(0, USUAL_BYTES, 200, runner("home", 80), runner("other", 65));
            assertEquals(decision, new ZoneDecision(Set.of("home"), ZoneReason.HOME));
        }
    }

    /** Guards against a share that goes to a zone whose state is unknown, or that returns all at once. */
    @Test
    public void shouldDropShareAtOnceWhenStatusesStop() {
        raiseShare();
        assertEquals(
                decide(0.1, USUAL_BYTES, 400, runner("home", 300), runner("other", 60))
                        .reason(),
                ZoneReason.SHARE);
        assertEquals(decide(0.1, USUAL_BYTES, 400, runner("home", 300)).reason(), ZoneReason.ONLY_HOME);
        assertEquals(
                decide(0.1, USUAL_BYTES, 400, runner("home", 300), runner("other", 60))
                        .reason(),
                ZoneReason.HOME);
        List<ZoneShareChange> changes = new ArrayList<>(overflow.takeChanges());
        assertEquals(changes.get(0).cause(), ZoneShareChange.Cause.HOME_SLOWER);
        assertEquals(changes.get(changes.size() - 1).cause(), ZoneShareChange.Cause.LOST);
    }

    /** Guards against sending over a slow link, to a full zone, or without need. */
    @Test
    public void shouldKeepRequestOfShareWhenItGainsNothing() {
        raiseShare();
        RunnerOutlook home = runner("home", 300);
        RunnerOutlook slowLink = new RunnerOutlook("other", 60, 260, 16, false);
        RunnerOutlook full = new RunnerOutlook("other", 60, 1, 16, true);
        assertEquals(decide(0.1, USUAL_BYTES, 400, home, slowLink).reason(), ZoneReason.NO_GAIN);
        assertEquals(decide(0.1, USUAL_BYTES, 400, home, full).reason(), ZoneReason.OTHERS_FULL);
        assertEquals(decide(0.1, USUAL_BYTES, 20_000, home, runner("other", 60)).reason(), ZoneReason.IN_TIME);
    }

    /** Guards against a price of traffic that ignores how much traffic a request makes. */
    @Test
    public void shouldKeepLargeRequestsMoreOftenThanSmallOnes() {
        raiseShare();
        RunnerOutlook home = runner("home", 75);
        for (int request = 0; request < 200; request++) {
            decide(0.99, USUAL_BYTES, 400, home, runner("other", 60));
        }
        int large = 0;
        int small = 0;
        for (double draw = 0; draw < 1; draw += 0.01) {
            boolean isSmall = Math.round(draw * 100) % 2 == 0;
            long sizeBytes = isSmall ? USUAL_BYTES / 2 : USUAL_BYTES * 3 / 2;
            boolean leaves = decide(draw, sizeBytes, 400, home, runner("other", 60))
                    .reason()
                    .isLeaving();
            small += isSmall && leaves ? 1 : 0;
            large += !isSmall && leaves ? 1 : 0;
        }
        assertTrue(large > 0 && large < small, large + " large and " + small + " small ones left");
    }

    /** Guards against a refusal at home, or a queue at the neighbour, while another zone has room. */
    @Test
    public void shouldLeaveForZoneWithRoomWhenHomeIsLate() {
        RunnerOutlook home = runner("home", 500);
        assertEquals(
                decide(0.99, USUAL_BYTES, 400, home, runner("busy", 250), runner("free", 100)),
                new ZoneDecision(Set.of("free"), ZoneReason.LATE_AT_HOME));
        assertEquals(decide(0.99, USUAL_BYTES, 400, home, runner("busy", 250)).reason(), ZoneReason.OTHERS_FULL);
    }
}
