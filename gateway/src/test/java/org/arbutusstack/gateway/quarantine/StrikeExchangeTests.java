package org.arbutusstack.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that entries hear of each other's strikes, whether or not there are sides. */
public class StrikeExchangeTests {

    private static final StrikeFrame STRIKE = new StrikeFrame("request:a", "10.0.0.1:80@7", true, 60_000, 20, 5);

    private static final StrikeFrame RETRACTION = StrikeFrame.retraction("request:a", "");

    private List<StrikeFrame> relayed;

    private List<StrikeFrame> applied;

    private boolean known;

    private StrikeExchange exchange;

    @BeforeMethod
    public void start() {
        relayed = new ArrayList<>();
        applied = new ArrayList<>();
        known = false;
        exchange = new StrikeExchange(
                (host, frame) -> host.equals("side"), relayed::add, this::apply, new ManualClock(1_000_000_000L));
    }

    private boolean apply(StrikeFrame frame) {
        applied.add(frame);
        return !known;
    }

    private static List<String> keysSentOver(RecordingLink link) {
        return link.sent.stream()
                .map(StrikeFrame.class::cast)
                .map(frame -> (frame.valid() ? "" : "-") + frame.key())
                .toList();
    }

    /** Guards against entries that do not share crashes while all sides are lost. */
    @Test
    public void shouldSendStrikeToPlannerAndToRelays() {
        RecordingLink planner = new RecordingLink();
        exchange.plannerConnected(planner);
        exchange.found(STRIKE);
        assertEquals(keysSentOver(planner), List.of("request:a"));
        assertEquals(relayed, List.of(STRIKE));
        assertEquals(applied, List.of(STRIKE));
    }

    /** Guards against losing what was found while no entry planned, or what the planner before knew. */
    @Test
    public void shouldSendWhatItFoundOrPassedOnToEachLaterPlanner() {
        exchange.found(STRIKE);
        exchange.receivedFromEntry(
                new RecordingLink(), new StrikeFrame("request:b", "10.0.0.1:80@8", true, 60_000, 20, 5));
        RecordingLink planner = new RecordingLink();
        exchange.plannerConnected(planner);
        assertEquals(keysSentOver(planner).stream().sorted().toList(), List.of("request:a", "request:b"));
        exchange.plannerDisconnected(planner);
        exchange.found(new StrikeFrame("request:c", "10.0.0.1:80@9", true, 60_000, 20, 5));
        assertEquals(planner.sent.size(), 2);
    }

    /** Guards against a planner that keeps the strikes of other entries to itself. */
    @Test
    public void shouldPassStrikeOnToOtherEntriesOnceAndToThoseThatConnectLater() {
        RecordingLink finder = new RecordingLink();
        RecordingLink other = new RecordingLink();
        exchange.entryConnected(finder);
        exchange.entryConnected(other);
        exchange.receivedFromEntry(finder, STRIKE);
        known = true;
        exchange.receivedFromEntry(other, STRIKE);
        assertTrue(finder.sent.isEmpty());
        assertEquals(keysSentOver(other), List.of("request:a"));
        RecordingLink late = new RecordingLink();
        exchange.entryConnected(late);
        assertEquals(keysSentOver(late), List.of("request:a"));
        exchange.entryDisconnected(other);
        exchange.found(new StrikeFrame("request:b", "10.0.0.1:80@8", true, 60_000, 20, 5));
        assertEquals(keysSentOver(other), List.of("request:a"));
        assertEquals(keysSentOver(finder), List.of("request:b"));
    }

    /** Guards against a strike that a side has delivered first not being passed on to entries without a side. */
    @Test
    public void shouldPassOnStrikeThatASideHasDeliveredAlready() {
        RecordingLink other = new RecordingLink();
        exchange.entryConnected(other);
        known = true;
        exchange.receivedFromEntry(new RecordingLink(), STRIKE);
        assertEquals(keysSentOver(other), List.of("request:a"));
    }

    @Test
    public void shouldRetractEverywhereUnlessTheSideOfTheHostDoes() {
        RecordingLink planner = new RecordingLink();
        RecordingLink entry = new RecordingLink();
        exchange.found(STRIKE);
        exchange.plannerConnected(planner);
        exchange.entryConnected(entry);
        exchange.retract("side", RETRACTION);
        exchange.retract("10.0.0.1:80", RETRACTION);
        assertEquals(keysSentOver(planner), List.of("request:a", "-request:a"));
        assertEquals(keysSentOver(entry), List.of("request:a", "-request:a"));
        RecordingLink late = new RecordingLink();
        exchange.entryConnected(late);
        assertTrue(late.sent.isEmpty(), "a strike that was withdrawn is not sent again");
    }

    /** Guards against strikes of a lost side staying in force, as no side passes their retraction on. */
    @Test
    public void shouldPassOnRetractionOfStrikeThatOnlySidesHadReported() {
        RecordingLink other = new RecordingLink();
        exchange.entryConnected(other);
        exchange.receivedFromEntry(new RecordingLink(), RETRACTION);
        assertEquals(keysSentOver(other), List.of("-request:a"));
        known = true;
        exchange.receivedFromEntry(new RecordingLink(), RETRACTION);
        assertEquals(other.sent.size(), 1);
    }
}
