package org.arbutusstack.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.routing.QuarantineRule;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.testng.annotations.Test;

/** Tests the record that carries the rules of the quarantine over the loss of all processes. */
public class QuarantineRecordTests {

    private final ManualClock clock = new ManualClock(5_000_000_000L);

    private ContentQuarantine quarantine() {
        return new ContentQuarantine(
                (host, frame) -> {},
                () -> false,
                new TrialSchedule("edge-1", () -> 1, clock),
                clock,
                new PrometheusRegistry());
    }

    private QuarantineRecord record(String... keys) {
        QuarantineRule rule =
                new QuarantineRule(Set.of(keys), 3, clock.deadlineNanos(-200), clock.deadlineNanos(60_000));
        return QuarantineRecord.of(List.of(rule), clock);
    }

    private static QuarantineRecord reread(QuarantineRecord record) {
        return QuarantineRecord.decode(new String(record.encode(), StandardCharsets.UTF_8));
    }

    @Test
    public void shouldReadBackWhatWasPersisted() {
        QuarantineRecord record = record("part:a", "part:b");
        assertEquals(reread(record), record);
        assertEquals(QuarantineRecord.decode("").rules(), List.of());
    }

    @Test
    public void shouldSkipMalformedLines() {
        String text = "part:a 3 1 2\npart:a,,b 3 1 2\npart:c x 1 2\npart:d 3 1\n,part:e 3 1 2\npart:f 99999999 1 2";
        assertEquals(QuarantineRecord.decode(text).rules().size(), 1);
    }

    @Test
    public void shouldRefuseByPersistedRuleUntilItExpires() {
        ContentQuarantine quarantine = quarantine();
        quarantine.recordRead(reread(record("part:a")));
        assertTrue(quarantine.ruleFor(List.of("part:x", "part:a")).isPresent());
        assertFalse(quarantine.ruleFor(List.of("part:x")).isPresent());
        assertTrue(quarantine.recordToPersist().isEmpty());
        clock.advanceMillis(60_001);
        assertFalse(quarantine.ruleFor(List.of("part:a")).isPresent());
        assertEquals(quarantine.recordToPersist().orElseThrow().rules(), List.of());
    }

    /** Guards against a clock that runs ahead keeping content out for longer than rules are remembered. */
    @Test
    public void shouldBoundExpiryWhenTimeOfDayOfWriterWasAhead() {
        ContentQuarantine quarantine = quarantine();
        quarantine.recordRead(QuarantineRecord.decode("part:a 3 1 999999999999999"));
        clock.advanceMillis(RunnerCrashes.RETENTION_MILLIS + 1);
        assertFalse(quarantine.ruleFor(List.of("part:a")).isPresent());
    }

    @Test
    public void shouldNarrowPersistedRuleWhenOneOfItsKeysIsAnswered() {
        ContentQuarantine quarantine = quarantine();
        quarantine.recordRead(reread(record("part:a", "part:b")));
        assertFalse(quarantine.ruleFor(List.of("part:b")).isPresent());
        quarantine.begun(List.of("part:a"));
        assertTrue(quarantine.ruleFor(List.of("part:b")).isPresent());
        quarantine.strikeReceived(StrikeFrame.retraction("part:b", ""));
        assertFalse(quarantine.ruleFor(List.of("part:a", "part:b")).isPresent());
    }
}
