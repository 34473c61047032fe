package org.arbutusstack.gateway.quarantine;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.collect.RecentlyUsedMap;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.ContentKeys;
import org.arbutusstack.routing.QuarantineRule;
import org.arbutusstack.routing.Strike;
import org.arbutusstack.routing.StrikePolicy;
import org.arbutusstack.routing.StrikeRegistry;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Quarantine of one entry: the strikes that sides report and the rules of the persisted record, which together
 * determine which content is kept from runners.
 *
 * <p>All entries hear the same strikes, so that they come to the same rules. Content whose answer begins after a strike
 * did not cause that crash, nor does an answer that is complete after it; such strikes are withdrawn, here and at all
 * others by way of the sides that hold them. Confined to the entry's event loop.
 *
 * @see RunnerCrashes
 */
public final class ContentQuarantine {

    private static final Logger logger = LoggerFactory.getLogger(ContentQuarantine.class);

    private static final int MAX_KEYS = 10_000;

    /** Keys of a kind whose last answer is remembered; several times those in use within the delay of a strike. */
    private static final int MAX_BEGUN_KEYS = 4_096;

    private final BiConsumer<String, StrikeFrame> sides;

    private final Clock clock;

    /** When answers to requests with a prompt part last began; the least recently used key is evicted first. */
    private final Map<String, Long> partsBegunAtNanos = new RecentlyUsedMap<>(MAX_BEGUN_KEYS);

    /** When the answer to a whole request last began, and when it was last complete. */
    private final Map<String, Long> requestsBegunAtNanos = new RecentlyUsedMap<>(MAX_BEGUN_KEYS);

    private final StrikeRegistry strikes = new StrikeRegistry(
            MAX_KEYS, StrikePolicy.SHARED_CONTENT, key -> begunAtNanos(key).containsKey(key));

    private final QuarantineProbes probes;

    private final TrialSchedule trials;

    private final Counter strikeCounter;

    private final Counter clearedCounter;

    private final Gauge ruleGauge;

    private final Gauge explainedGauge;

    private QuarantineRecord persisted = QuarantineRecord.EMPTY;

    private List<QuarantineRule> persistedRules = List.of();

    private List<QuarantineRule> loggedRules = List.of();

    private Set<String> loggedExplainedKeys = Set.of();

    /**
     * Create an empty quarantine.
     *
     * @param sides sends a frame to the side on a host, or to those that relay it if there is none
     * @param isProber returns whether this entry is the one that may probe rules
     * @param trials the schedule of requests with undecided content
     * @param clock the clock of the process
     * @param registry the metrics registry of the process
     */
    public ContentQuarantine(
            BiConsumer<String, StrikeFrame> sides,
            BooleanSupplier isProber,
            TrialSchedule trials,
            Clock clock,
            PrometheusRegistry registry) {
        this.sides = Assert.notNull(sides, "sides");
        this.clock = Assert.notNull(clock, "clock");
        this.probes = new QuarantineProbes(isProber, clock);
        this.trials = Assert.notNull(trials, "trials");
        this.strikeCounter = Counter.builder()
                .name("arbutus_quarantine_strikes_total")
                .help("strikes heard of, one for each content key and crash of a runner")
                .register(registry);
        this.clearedCounter = Counter.builder()
                .name("arbutus_quarantine_strikes_cleared_total")
                .help("strikes withdrawn since an answer to the content began")
                .register(registry);
        this.ruleGauge = Gauge.builder()
                .name("arbutus_quarantine_rules")
                .help("rules in force that keep content from runners")
                .register(registry);
        this.explainedGauge = Gauge.builder()
                .name("arbutus_quarantine_explained_keys")
                .help("keys with enough strikes for a rule whose crashes other content explains")
                .register(registry);
    }

    /**
     * Return whether any content is suspect or refused, so that the keys of whole requests matter.
     *
     * @return {@code false} if no request can be refused
     */
    public boolean isWatching() {
        return !strikes.isEmpty() || !persistedRules.isEmpty();
    }

    /**
     * Describe the keys that have strikes, whether or not a rule refuses them.
     *
     * @param keys the keys of the content of a request
     * @return each key that is suspect, with the number of its strikes that count and of all of them
     */
    public List<String> describeSuspects(Collection<String> keys) {
        long nowNanos = clock.nowNanos();
        return keys.stream()
                .filter(key -> strikes.isSuspect(key, nowNanos))
                .map(key -> key
                        + ':'
                        + strikes.countedStrikes(key, nowNanos)
                        + '/'
                        + strikes.strikesOf(key, nowNanos).size())
                .toList();
    }

    /**
     * Find the rule that refuses a request.
     *
     * @param keys the keys of its content
     * @return the rule; empty if the request may be sent
     */
    public Optional<QuarantineRule> ruleFor(Collection<String> keys) {
        return rules().stream().filter(rule -> rule.refuses(keys)).findFirst();
    }

    /**
     * Decide whether a request that a rule refuses is sent all the same, to find out whether the rule still holds.
     *
     * @param rule the rule
     * @return whether the request is to be sent
     */
    public boolean tryProbe(QuarantineRule rule) {
        return probes.tryAcquire(rule);
    }

    /**
     * Decide whether a request that no rule refuses, and that a runner could take now, is sent.
     *
     * @param keys the keys of its content
     * @return {@code false} if another request with the same content has to show first whether it is harmful
     */
    public boolean maySend(Collection<String> keys) {
        long nowNanos = clock.nowNanos();
        Optional<String> undecided =
                keys.stream().filter(key -> strikes.isUndecided(key, nowNanos)).findFirst();
        if (undecided.isEmpty()) {
            return true;
        }
        boolean acquired = trials.tryAcquire(undecided.get());
        if (acquired) {
            logger.info("event=undecided-content-sent {}", String.join(",", describeSuspects(keys)));
        }
        return acquired;
    }

    /** Return the rules in force; a persisted rule only if no rule with some of its keys has replaced it. */
    private List<QuarantineRule> rules() {
        List<QuarantineRule> current = strikes.rules(clock.nowNanos());
        if (persistedRules.isEmpty()) {
            return current;
        }
        List<QuarantineRule> all = new ArrayList<>(current);
        for (QuarantineRule rule : persistedRules) {
            boolean replaced = current.stream().anyMatch(other -> other.refuses(rule.keys()));
            if (!replaced && !clock.isPast(rule.expiresAtNanos())) {
                all.add(rule);
            }
        }
        return all;
    }

    /**
     * Record that the answer to a request began.
     *
     * @param keys the keys of its content
     */
    public void begun(Collection<String> keys) {
        long nowNanos = clock.nowNanos();
        for (String key : keys) {
            begunAtNanos(key).put(key, nowNanos);
        }
        boolean changed = false;
        for (String key : keys) {
            changed |= isWatching() && clear(key);
        }
        if (changed) {
            rulesChanged();
        }
    }

    /**
     * Record that the answer to a request is complete.
     *
     * @param answerKey the key of the answer
     */
    public void completed(String answerKey) {
        requestsBegunAtNanos.put(answerKey, clock.nowNanos());
        if (clear(answerKey)) {
            rulesChanged();
        }
    }

    private Map<String, Long> begunAtNanos(String key) {
        return ContentKeys.isOfOneRequest(key) ? requestsBegunAtNanos : partsBegunAtNanos;
    }

    private boolean clear(String key) {
        List<Strike> cleared = strikes.clear(key);
        Set<String> hosts = new HashSet<>();
        for (Strike strike : cleared) {
            clearedCounter.inc();
            hosts.add(RunnerCrashes.hostOf(strike.incident()));
        }
        hosts.forEach(host -> sides.accept(host, StrikeFrame.retraction(key, "")));
        return narrowPersistedRules(key) || !cleared.isEmpty();
    }

    private boolean narrowPersistedRules(String key) {
        if (persistedRules.stream().noneMatch(rule -> rule.keys().contains(key))) {
            return false;
        }
        List<QuarantineRule> narrowed = new ArrayList<>();
        for (QuarantineRule rule : persistedRules) {
            Set<String> others = new HashSet<>(rule.keys());
            others.remove(key);
            if (!others.isEmpty()) {
                narrowed.add(
                        new QuarantineRule(others, rule.strikes(), rule.lastStruckAtNanos(), rule.expiresAtNanos()));
            }
        }
        persistedRules = narrowed;
        return true;
    }

    /**
     * Apply a strike, or the retraction of strikes, that another process reports.
     *
     * @param frame the report
     * @return whether it changed anything
     */
    public boolean strikeReceived(StrikeFrame frame) {
        boolean changed;
        if (frame.valid()) {
            changed = add(Strike.of(frame, clock));
        } else if (frame.incident().isEmpty()) {
            // The answer began before now, but not necessarily after a strike that is yet to arrive.
            begunAtNanos(frame.key()).putIfAbsent(frame.key(), clock.deadlineNanos(-RunnerCrashes.RETENTION_MILLIS));
            changed = !strikes.clear(frame.key()).isEmpty();
            changed |= narrowPersistedRules(frame.key());
        } else {
            changed = strikes.withdraw(frame.key(), frame.incident());
        }
        rulesChanged();
        return changed;
    }

    private boolean add(Strike strike) {
        Long begunNanos = begunAtNanos(strike.key()).get(strike.key());
        if (begunNanos != null && begunNanos - strike.struckAtNanos() > 0) {
            clearedCounter.inc();
            sides.accept(RunnerCrashes.hostOf(strike.incident()), StrikeFrame.retraction(strike.key(), ""));
            return false;
        }
        boolean added = strikes.add(strike);
        if (added) {
            strikeCounter.inc();
        }
        return added;
    }

    /**
     * Receive the record persisted in the key-value service, as read last.
     *
     * @param record the record
     */
    public void recordRead(QuarantineRecord record) {
        persisted = record;
        persistedRules = record.rules().stream().map(rule -> rule.toRule(clock)).toList();
        rulesChanged();
    }

    /**
     * Return the record that the planner is to persist.
     *
     * @return the record of the rules in force; empty if the persisted one has the same keys
     */
    public Optional<QuarantineRecord> recordToPersist() {
        QuarantineRecord next = QuarantineRecord.of(rules(), clock);
        return next.hasSameKeys(persisted) ? Optional.empty() : Optional.of(next);
    }

    /** Log rules that have come into force or were lifted, with the evidence for each. */
    private void rulesChanged() {
        explainedKeysChanged();
        List<QuarantineRule> rules = rules();
        if (rules.equals(loggedRules)) {
            return;
        }
        ruleGauge.set(rules.size());
        Set<Set<String>> loggedKeys = keySetsOf(loggedRules);
        Set<Set<String>> keySets = keySetsOf(rules);
        for (QuarantineRule rule : rules) {
            if (!loggedKeys.contains(rule.keys())) {
                logger.warn("event=quarantined {}", describe(rule));
            }
        }
        for (Set<String> keys : loggedKeys) {
            if (!keySets.contains(keys)) {
                logger.warn("event=quarantine-lifted keys={}", String.join(",", new TreeSet<>(keys)));
            }
        }
        loggedRules = List.copyOf(rules);
        probes.retain(rules);
    }

    /** Log content that would be refused if no other content explained its strikes. */
    private void explainedKeysChanged() {
        Set<String> explainedKeys = strikes.explainedKeys(clock.nowNanos());
        if (explainedKeys.equals(loggedExplainedKeys)) {
            return;
        }
        explainedGauge.set(explainedKeys.size());
        if (!loggedExplainedKeys.containsAll(explainedKeys)) {
            logger.warn("event=strikes-explained {}", String.join(",", describeSuspects(new TreeSet<>(explainedKeys))));
        }
        loggedExplainedKeys = explainedKeys;
    }

    private static Set<Set<String>> keySetsOf(List<QuarantineRule> rules) {
        return rules.stream().map(QuarantineRule::keys).collect(Collectors.toSet());
    }

    private String describe(QuarantineRule rule) {
        List<String> incidents = rule.keys().stream()
                .flatMap(key -> strikes.strikesOf(key, clock.nowNanos()).stream())
                .map(Strike::incident)
                .distinct()
                .sorted()
                .toList();
        return "keys=" + rule.joinedKeys() + " crashes=" + rule.strikes() + " last_ms_ago="
                + clock.millisSince(rule.lastStruckAtNanos()) + " expires_in_ms="
                + clock.millisUntil(rule.expiresAtNanos()) + " incidents="
                + (incidents.isEmpty() ? "persisted" : String.join(",", incidents));
    }

    /**
     * Describe the rules in force and the suspect content for the state dump of the process.
     *
     * @return one line for each rule, then one for each strike
     */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        rules().forEach(rule -> lines.add("rule " + describe(rule)));
        for (Strike strike : strikes.all(clock.nowNanos())) {
            lines.add("strike key=" + strike.key() + " incident=" + strike.incident() + " ms_ago="
                    + clock.millisSince(strike.struckAtNanos()));
        }
        return lines;
    }
}
