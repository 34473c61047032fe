package org.arbutusstack.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.routing.QuarantineRule;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how an entry learns which content crashes runners, and how it learns that it was mistaken. */
public class ContentQuarantineTests {

    private static final long LEFT_MILLIS = 3_600_000;

    private ManualClock clock;

    private List<String> retracted;

    private boolean prober;

    private ContentQuarantine quarantine;

    @BeforeMethod
    public void start() {
        clock = new ManualClock(1_000_000_000L);
        retracted = new ArrayList<>();
        prober = true;
        quarantine = new ContentQuarantine(
                (host, frame) -> retracted.add(host + ' ' + frame.key()),
                () -> prober,
                new TrialSchedule("edge-1", () -> 1, clock),
                clock,
                new PrometheusRegistry());
    }

    /** Crash one runner after another while requests with the keys have not begun. */
    private void crash(int count, String... keys) {
        for (int number = 0; number < count; number++) {
            clock.advanceMillis(1_000);
            String incident = "10.0.0." + clock.nowNanos() + "@1";
            for (String key : keys) {
                quarantine.strikeReceived(new StrikeFrame(key, incident, true, LEFT_MILLIS, 200, 50));
            }
        }
    }

    private boolean isRefused(String... keys) {
        return quarantine.ruleFor(List.of(keys)).isPresent();
    }

    @Test
    public void shouldRefuseAfterThreeCrashes() {
        crash(2, "part:a");
        assertFalse(isRefused("part:a"));
        crash(1, "part:a");
        assertTrue(isRefused("part:a", "part:b"));
        assertFalse(isRefused("part:b"));
        assertEquals(quarantine.describe().size(), 4);
    }

    @Test
    public void shouldWithdrawStrikesHereAndAtSidesWhenAnswerBegins() {
        crash(2, "part:a");
        quarantine.begun(List.of("part:a"));
        assertEquals(retracted.size(), 2);
        crash(2, "part:a");
        assertFalse(isRefused("part:a"));
    }

    /** Guards against the strike that arrives just after an answer began outweighing it. */
    @Test
    public void shouldRetractStrikeWhenAnswerBeganBetweenCrashAndItsReport() {
        clock.advanceMillis(1_000);
        quarantine.begun(List.of("part:a"));
        clock.advanceMillis(30);
        quarantine.strikeReceived(new StrikeFrame("part:a", "10.0.0.9@1", true, LEFT_MILLIS, 200, 50));
        assertEquals(retracted, List.of("10.0.0.9 part:a"));
        assertFalse(quarantine.isWatching());
        quarantine.strikeReceived(new StrikeFrame("part:a", "10.0.0.9@1", true, LEFT_MILLIS, 200, 20));
        assertTrue(quarantine.isWatching());
    }

    /** Guards against a part that all prompts share being blamed for a part that no answer ever began on. */
    @Test
    public void shouldBlamePartThatNeverBeganRatherThanPartOfAllPrompts() {
        quarantine.begun(List.of("part:first"));
        crash(1, "part:first");
        crash(3, "part:first", "part:harmful");
        assertTrue(isRefused("part:harmful"));
        assertFalse(isRefused("part:first"));
        crash(3, "part:first");
        assertTrue(isRefused("part:first"), "crashes without the other part");
    }

    /** Guards against a mistaken rule keeping a whole kind of request out until it expires. */
    @Test
    public void shouldServeContentAgainWhenProbeIsAnswered() {
        crash(3, "part:first");
        assertFalse(quarantine.tryProbe(ruleFor("part:first")));
        clock.advanceMillis(60_000);
        prober = false;
        assertFalse(quarantine.tryProbe(ruleFor("part:first")));
        prober = true;
        assertTrue(quarantine.tryProbe(ruleFor("part:first")));
        assertFalse(quarantine.tryProbe(ruleFor("part:first")), "one at a time");
        quarantine.begun(List.of("part:first"));
        assertFalse(isRefused("part:first"));
    }

    /** Guards against probes of harmful content reaching runners more often than the users allow. */
    @Test
    public void shouldProbeAtMostTwiceWhileProbesCrashRunners() {
        crash(3, "part:a");
        int probes = 0;
        for (int second = 0; second < LEFT_MILLIS / 1_000 - 10; second++) {
            clock.advanceMillis(1_000);
            if (quarantine.tryProbe(ruleFor("part:a"))) {
                probes++;
                crash(1, "part:a");
            }
        }
        assertEquals(probes, 2);
    }

    /** Guards against probes that were never sent using up the chance to correct a mistaken rule. */
    @Test
    public void shouldProbeAgainWhenProbeShowedNothing() {
        crash(3, "part:a");
        clock.advanceMillis(60_000);
        for (int attempt = 0; attempt < 4; attempt++) {
            assertTrue(quarantine.tryProbe(ruleFor("part:a")), "attempt " + attempt);
            clock.advanceMillis(15_000);
        }
    }

    private QuarantineRule ruleFor(String key) {
        return quarantine.ruleFor(List.of(key)).orElseThrow();
    }

    @Test
    public void shouldForgetCrashThatWasRetracted() {
        crash(2, "part:a");
        quarantine.strikeReceived(new StrikeFrame("part:a", "10.0.0.7@1", true, LEFT_MILLIS, 20, 5));
        assertTrue(isRefused("part:a"));
        quarantine.strikeReceived(StrikeFrame.retraction("part:a", "10.0.0.7@1"));
        assertFalse(isRefused("part:a"));
    }
}
