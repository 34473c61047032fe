package org.arbutusstack.gateway.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.QuarantineRule;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rules of the quarantine as persisted in the key-value service, so that a process that has just started knows them
 * with its configuration, even if all others were lost.
 *
 * <p>Times are those of the time of day, since no other clock outlives a process.
 *
 * @param rules the rules
 */
public record QuarantineRecord(List<PersistedRule> rules) {

    /** Key of the record in the key-value service. */
    public static final String KEY = "arbutus/quarantine";

    /** Record without any rule. */
    static final QuarantineRecord EMPTY = new QuarantineRecord(List.of());

    private static final Logger logger = LoggerFactory.getLogger(QuarantineRecord.class);

    /** Maximum number of rules persisted; those that were struck last take precedence. */
    private static final int MAX_RULES = 500;

    private static final int FIELDS = 4;

    private static final String KEY_SEPARATOR = ",";

    /** Copy the rules. */
    public QuarantineRecord {
        rules = List.copyOf(rules);
    }

    /**
     * Rule with instants of the time of day.
     *
     * @param keys the keys that a refused request has
     * @param strikes the number of crashes
     * @param struckAtMillis when the last runner crashed, in Unix milliseconds
     * @param expiresAtMillis when the rule expires, in Unix milliseconds
     */
    record PersistedRule(Set<String> keys, int strikes, long struckAtMillis, long expiresAtMillis) {

        /** Copy the keys. */
        PersistedRule {
            keys = Set.copyOf(keys);
        }

        QuarantineRule toRule(Clock clock) {
            long leftMillis = Math.min(RunnerCrashes.RETENTION_MILLIS, expiresAtMillis - clock.wallMillis());
            long agoMillis = clock.wallMillis() - struckAtMillis;
            return new QuarantineRule(keys, strikes, clock.deadlineNanos(-agoMillis), clock.deadlineNanos(leftMillis));
        }
    }

    /** Create the record of rules. */
    static QuarantineRecord of(List<QuarantineRule> rules, Clock clock) {
        return new QuarantineRecord(rules.stream()
                .sorted(Comparator.comparingLong(rule -> clock.millisSince(rule.lastStruckAtNanos())))
                .limit(MAX_RULES)
                .map(rule -> new PersistedRule(
                        rule.keys(),
                        rule.strikes(),
                        clock.wallMillis() - clock.millisSince(rule.lastStruckAtNanos()),
                        clock.wallMillis() + clock.millisUntil(rule.expiresAtNanos())))
                .toList());
    }

    /** Return whether another record has rules with the same keys. */
    boolean hasSameKeys(QuarantineRecord other) {
        return keySets().equals(other.keySets());
    }

    private Set<Set<String>> keySets() {
        return rules.stream().map(PersistedRule::keys).collect(Collectors.toSet());
    }

    /**
     * Encode the record as text.
     *
     * @return UTF-8 text with a line for each rule: its keys joined by commas, the number of crashes, when the last was
     *     and when the rule expires, in Unix milliseconds
     */
    public byte[] encode() {
        List<String> lines = new ArrayList<>();
        rules.forEach(rule -> lines.add(String.join(KEY_SEPARATOR, new TreeSet<>(rule.keys()))
                + ' '
                + rule.strikes()
                + ' '
                + rule.struckAtMillis()
                + ' '
                + rule.expiresAtMillis()));
        return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decode a record; malformed lines are skipped and counted in the log.
     *
     * @param text the text written by {@link #encode()}; empty if there is no record
     * @return the record of the well-formed lines
     */
    public static QuarantineRecord decode(String text) {
        List<PersistedRule> rules = new ArrayList<>();
        int malformed = 0;
        for (String line : text.lines().toList()) {
            String[] fields = line.split(" ");
            boolean wellFormed = fields.length == FIELDS
                    && fields[1].matches("\\d{1,6}")
                    && fields[2].matches("\\d{1,15}")
                    && fields[3].matches("\\d{1,15}")
                    && fields[0].matches("[^,]+(,[^,]+)*");
            if (wellFormed) {
                rules.add(new PersistedRule(
                        Set.of(fields[0].split(KEY_SEPARATOR)),
                        Integer.parseInt(fields[1]),
                        Long.parseLong(fields[2]),
                        Long.parseLong(fields[3])));
            } else {
                malformed++;
            }
        }
        if (malformed > 0) {
            logger.warn("event=quarantine-record-unreadable lines={}", malformed);
        }
        return new QuarantineRecord(rules);
    }
}
