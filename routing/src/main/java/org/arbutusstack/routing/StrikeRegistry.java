package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Registry of the engines that were lost while they ran requests with some content.
 *
 * <p>Content with enough strikes by the {@link StrikePolicy} is refused, unless other content explains its losses
 * better. The number of keys is bounded; the oldest is evicted first. Does no I/O. Not thread-safe.
 */
public final class StrikeRegistry {

    private static final int DIGEST_HEX_DIGITS = 32;

    /** More than needed to refuse content, so that content that was only beside it has fewer. */
    private static final int MAX_STRIKES_PER_KEY = 16;

    private final Map<String, Map<String, Strike>> strikesByKey = new LinkedHashMap<>();

    /** The keys with enough strikes to be refused if the policy counts them all. */
    private final Set<String> candidates = new HashSet<>();

    private final int maxKeys;

    private final StrikePolicy policy;

    private final Predicate<String> hasBegun;

    /** The rules that follow from the strikes; null if they have to be derived again. */
    private List<QuarantineRule> rules = List.of();

    /** Requests with enough strikes that no rule refuses and nothing explains; derived with the rules. */
    private Set<String> undecidedKeys = Set.of();

    /**
     * Create an empty registry without knowledge of answers.
     *
     * @param maxKeys the maximum number of keys
     * @param policy the policy that determines which content is refused
     */
    public StrikeRegistry(int maxKeys, StrikePolicy policy) {
        this(maxKeys, policy, key -> false);
    }

    /**
     * Create an empty registry.
     *
     * @param maxKeys the maximum number of keys
     * @param policy the policy that determines which content is refused
     * @param hasBegun returns whether an answer to the content with a key has ever begun, as far as is known
     */
    public StrikeRegistry(int maxKeys, StrikePolicy policy, Predicate<String> hasBegun) {
        this.hasBegun = Assert.notNull(hasBegun, "hasBegun");
        this.maxKeys = (int) Assert.atLeast(maxKeys, 1, "maxKeys");
        this.policy = Assert.notNull(policy, "policy");
    }

    /**
     * Return the digest of the content of a request.
     *
     * @param model the requested model
     * @param adapter the requested adapter; empty for none
     * @param body the body of the request
     * @return the digest in hexadecimal digits
     */
    public static String digestOf(String model, String adapter, byte[] body) {
        Digest target = Digest.of(model + '\n' + adapter);
        return target.chain(Digest.of(body)).hex().substring(0, DIGEST_HEX_DIGITS);
    }

    /**
     * Add a strike.
     *
     * @param strike the strike to add
     * @return {@code false} if the strike was known, or other strikes are kept in its place
     */
    public boolean add(Strike strike) {
        Map<String, Strike> strikes = strikesByKey.computeIfAbsent(strike.key(), key -> new LinkedHashMap<>());
        boolean isNew = strikes.putIfAbsent(strike.incident(), strike) == null;
        if (strikes.size() > MAX_STRIKES_PER_KEY) {
            isNew = !evictStrike(strikes).equals(strike);
        }
        if (strikesByKey.size() > maxKeys) {
            strikesRemoved(strikesByKey.keySet().iterator().next(), Map.of());
        }
        if (isNew && policy.mayRefuse(strikes.size())) {
            candidates.add(strike.key());
            rules = null;
        }
        return isNew;
    }

    /** Evict the first strike that does not count, or the last if all count. */
    private Strike evictStrike(Map<String, Strike> strikes) {
        List<Strike> counted = policy.independent(strikes.values());
        List<Strike> ordered = List.copyOf(strikes.values());
        Strike evicted = ordered.stream()
                .filter(strike -> !counted.contains(strike))
                .findFirst()
                .orElse(ordered.get(ordered.size() - 1));
        strikes.remove(evicted.incident());
        return evicted;
    }

    /** Update the keys after strikes of one of them were removed. */
    private void strikesRemoved(String key, Map<String, Strike> remaining) {
        if (remaining.isEmpty()) {
            strikesByKey.remove(key);
        }
        if (candidates.contains(key)) {
            rules = null;
            if (!policy.mayRefuse(remaining.size())) {
                candidates.remove(key);
            }
        }
    }

    /**
     * Withdraw a strike.
     *
     * @param key the key of the content
     * @param incident the incident that turned out not to be a loss
     * @return whether there was such a strike
     */
    public boolean withdraw(String key, String incident) {
        Map<String, Strike> strikes = strikesByKey.get(key);
        if (strikes == null || strikes.remove(incident) == null) {
            return false;
        }
        strikesRemoved(key, strikes);
        return true;
    }

    /**
     * Withdraw all strikes of some content, since a request with it was answered.
     *
     * @param key the key of the content
     * @return the strikes that were withdrawn
     */
    public List<Strike> clear(String key) {
        Map<String, Strike> strikes = strikesByKey.get(key);
        if (strikes == null) {
            return List.of();
        }
        strikesRemoved(key, Map.of());
        return List.copyOf(strikes.values());
    }

    /**
     * Return the strikes of some content.
     *
     * @param key the key of the content
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the strikes that have not expired
     */
    public List<Strike> strikesOf(String key, long nowNanos) {
        Map<String, Strike> strikes = strikesByKey.get(key);
        if (strikes == null) {
            return List.of();
        }
        if (strikes.values().removeIf(strike -> nowNanos - strike.expiresAtNanos() >= 0)) {
            strikesRemoved(key, strikes);
        }
        return List.copyOf(strikes.values());
    }

    /**
     * Return the strikes of all content.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the strikes that have not expired
     */
    public List<Strike> all(long nowNanos) {
        List<Strike> all = new ArrayList<>();
        List.copyOf(strikesByKey.keySet()).forEach(key -> all.addAll(strikesOf(key, nowNanos)));
        return all;
    }

    /**
     * Return whether content is suspect.
     *
     * @param key the key of the content
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return {@code true} if it has at least one strike
     */
    public boolean isSuspect(String key, long nowNanos) {
        return !strikesOf(key, nowNanos).isEmpty();
    }

    /**
     * Return the number of the strikes of some content that count.
     *
     * @param key the key of the content
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the strikes that are independent of each other
     */
    public int countedStrikes(String key, long nowNanos) {
        return policy.independent(strikesOf(key, nowNanos)).size();
    }

    /**
     * Return whether a request has as many strikes as one that is refused, but nothing tells whether it was the cause.
     *
     * @param key the key of the content
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return {@code true} if the next loss or answer decides whether it is refused
     */
    public boolean isUndecided(String key, long nowNanos) {
        rules(nowNanos);
        return undecidedKeys.contains(key);
    }

    /**
     * Return the content that has enough strikes to be refused but is in no rule, since other content explains them.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return its keys
     */
    public Set<String> explainedKeys(long nowNanos) {
        Set<String> ruled =
                rules(nowNanos).stream().flatMap(rule -> rule.keys().stream()).collect(Collectors.toSet());
        return candidates.stream()
                .filter(key -> !ruled.contains(key)
                        && policy.isRefused(strikesByKey.get(key).values()))
                .collect(Collectors.toSet());
    }

    /**
     * Return whether a request with just this content is refused.
     *
     * @param key the key of the content
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return {@code true} if a rule has this key and no other
     */
    public boolean isRefused(String key, long nowNanos) {
        return rules(nowNanos).stream().anyMatch(rule -> rule.refuses(Set.of(key)));
    }

    /**
     * Return the rules that follow from the strikes.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return a rule for each set of keys that were struck in the same losses and have enough strikes
     */
    public List<QuarantineRule> rules(long nowNanos) {
        boolean expired = rules != null && rules.stream().anyMatch(rule -> nowNanos - rule.expiresAtNanos() >= 0);
        if (rules == null || expired) {
            List.copyOf(candidates).forEach(key -> strikesOf(key, nowNanos));
            rules = deriveRules();
        }
        return rules;
    }

    /**
     * Derive the rules: repeatedly take the content that best explains the remaining losses, and remove the losses that
     * it explains from all other content. Content that was never answered explains them better than other content does,
     * and then content with more strikes.
     *
     * <p>Shared content is refused only if enough of its losses remain, since it is beside other content all the time.
     * A request that was never answered was sent again after each of its losses, so that any of them that remains is
     * held against it; if they do not count separately, it is undecided.
     */
    private List<QuarantineRule> deriveRules() {
        Map<String, Map<String, Strike>> unexplained = new HashMap<>();
        for (String key : candidates) {
            Map<String, Strike> strikes = strikesByKey.get(key);
            if (policy.isRefused(strikes.values())) {
                unexplained.put(key, new HashMap<>(strikes));
            }
        }
        Set<String> unruledKeys = new HashSet<>(candidates);
        unruledKeys.removeAll(unexplained.keySet());
        Set<String> allExplained = new HashSet<>();
        List<QuarantineRule> derived = new ArrayList<>();
        while (!unexplained.isEmpty()) {
            Set<String> explained = new HashSet<>();
            for (Set<String> keys : mostSuspect(unexplained)) {
                derived.add(ruleFor(keys));
                for (String key : keys) {
                    Map<String, Strike> strikes = unexplained.remove(key);
                    if (policy.isRefused(strikes.values())) {
                        explained.addAll(strikes.keySet());
                    }
                }
            }
            unexplained.values().forEach(strikes -> strikes.keySet().removeAll(explained));
            unexplained.entrySet().removeIf(entry -> isExplained(entry.getKey(), entry.getValue()));
            allExplained.addAll(explained);
        }
        undecidedKeys = unruledKeys.stream()
                .filter(key -> isUnansweredRequest(key)
                        && !allExplained.containsAll(strikesByKey.get(key).keySet()))
                .collect(Collectors.toUnmodifiableSet());
        return List.copyOf(derived);
    }

    /** Return whether a key is that of a request that is not known to be served, as a popular one soon is. */
    private boolean isUnansweredRequest(String key) {
        return policy.isOfOneRequest(key) && !hasBegun.test(key);
    }

    private boolean isExplained(String key, Map<String, Strike> remaining) {
        return isUnansweredRequest(key) ? remaining.isEmpty() : !policy.isRefused(remaining.values());
    }

    /**
     * Select the content that best explains the remaining losses.
     *
     * @return the sets of keys that a rule each refuses: those of each request, as no request has the keys of two; or
     *     those of the shared content that was struck in the same losses, which may be refused only together
     */
    private Collection<Set<String>> mostSuspect(Map<String, Map<String, Strike>> unexplained) {
        Comparator<String> bySuspicion = Comparator.<String, Boolean>comparing(key -> !hasBegun.test(key))
                .thenComparing(key -> unexplained.get(key).size());
        String best = Collections.max(unexplained.keySet(), bySuspicion.thenComparing(Comparator.naturalOrder()));
        List<String> equallySuspect = unexplained.keySet().stream()
                .filter(key -> bySuspicion.compare(key, best) == 0)
                .toList();
        Map<String, Set<String>> keysByRequest = equallySuspect.stream()
                .filter(policy::isOfOneRequest)
                .collect(Collectors.groupingBy(ContentKeys::withoutPrefix, Collectors.toSet()));
        if (!keysByRequest.isEmpty()) {
            return keysByRequest.values();
        }
        Set<String> incidents = unexplained.get(best).keySet();
        return List.of(equallySuspect.stream()
                .filter(key -> unexplained.get(key).keySet().equals(incidents))
                .collect(Collectors.toSet()));
    }

    private QuarantineRule ruleFor(Set<String> keys) {
        Map<String, Strike> strikes = new HashMap<>();
        keys.forEach(key -> strikes.putAll(strikesByKey.get(key)));
        long lastStruckAtNanos = Long.MIN_VALUE;
        long expiresAtNanos = Long.MIN_VALUE;
        for (Strike strike : strikes.values()) {
            lastStruckAtNanos = Math.max(lastStruckAtNanos, strike.struckAtNanos());
            expiresAtNanos = Math.max(expiresAtNanos, strike.expiresAtNanos());
        }
        return new QuarantineRule(keys, strikes.size(), lastStruckAtNanos, expiresAtNanos);
    }

    /**
     * Return whether no content has a strike.
     *
     * @return {@code true} if the registry holds no key
     */
    public boolean isEmpty() {
        return strikesByKey.isEmpty();
    }

    /**
     * Return the number of keys.
     *
     * @return the number of keys, including those whose strikes have expired but were not removed yet
     */
    public int size() {
        return strikesByKey.size();
    }
}
