package org.arbutusstack.gateway.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.QuarantineRule;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Schedule of the single requests that are sent in spite of a rule, so that content which is refused by mistake, or is
 * harmful no longer, is served again before the rule expires.
 *
 * <p>A refused request never shows that it is sound. One entry of the fleet probes, since each probe may crash a
 * runner. Confined to the entry's event loop.
 */
final class QuarantineProbes {

    private static final Logger logger = LoggerFactory.getLogger(QuarantineProbes.class);

    /** Time from the last crash to the first probe; several times that in which a fleet recovers from power loss. */
    private static final long FIRST_PROBE_MILLIS = 60_000;

    private static final long SECOND_PROBE_MILLIS = 300_000;

    /** Time after which another request is let through if one shows nothing, since it was not sent, for example. */
    private static final long REPEAT_MILLIS = 15_000;

    /** Probes that may crash a runner; one less than the late requests that the users allow for. */
    private static final int MAX_CRASHES = 2;

    private final BooleanSupplier isProber;

    private final Clock clock;

    private final Map<Set<String>, Schedule> schedules = new HashMap<>();

    QuarantineProbes(BooleanSupplier isProber, Clock clock) {
        this.isProber = Assert.notNull(isProber, "isProber");
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Return whether a request that the rule refuses is sent as a probe. */
    boolean tryAcquire(QuarantineRule rule) {
        if (!isProber.getAsBoolean()) {
            return false;
        }
        Schedule schedule = schedules.getOrDefault(
                rule.keys(), new Schedule(0, false, rule.lastStruckAtNanos(), probeAt(rule, FIRST_PROBE_MILLIS)));
        if (rule.lastStruckAtNanos() != schedule.struckAtNanos()) {
            int crashes = schedule.crashes() + (schedule.probed() ? 1 : 0);
            long delayMillis = crashes == 0 ? FIRST_PROBE_MILLIS : SECOND_PROBE_MILLIS;
            schedule = new Schedule(crashes, false, rule.lastStruckAtNanos(), probeAt(rule, delayMillis));
        }
        boolean due = schedule.crashes() < MAX_CRASHES && clock.isPast(schedule.probeAtNanos());
        if (due) {
            logger.warn("event=quarantine-probe keys={} crashed_before={}", rule.joinedKeys(), schedule.crashes());
            schedule = new Schedule(
                    schedule.crashes(), true, schedule.struckAtNanos(), clock.deadlineNanos(REPEAT_MILLIS));
        }
        schedules.put(rule.keys(), schedule);
        return due;
    }

    private static long probeAt(QuarantineRule rule, long delayMillis) {
        return rule.lastStruckAtNanos() + delayMillis * Clock.NANOS_PER_MILLI;
    }

    /** Forget the probes of rules that are no longer in force. */
    void retain(List<QuarantineRule> rules) {
        schedules.keySet().retainAll(rules.stream().map(QuarantineRule::keys).collect(Collectors.toSet()));
    }

    /**
     * Probes of one rule.
     *
     * @param crashes the probes that crashed a runner
     * @param probed whether a request was let through since the last crash
     * @param struckAtNanos when the last crash was
     * @param probeAtNanos when the next request may be let through
     */
    private record Schedule(int crashes, boolean probed, long struckAtNanos, long probeAtNanos) {}
}
