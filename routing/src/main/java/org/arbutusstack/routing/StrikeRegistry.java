package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Registry of the engines that were lost while they ran a request, by the digest of its content.
 *
 * <p>A request with one strike is suspect and runs alone; a request with two strikes is refused. The number of digests
 * is bounded; the oldest is evicted first. Not thread-safe.
 */
public final class StrikeRegistry {

    /** Number of strikes at which a request is refused. */
    public static final int STRIKES_TO_REFUSE = 2;

    private static final int DIGEST_HEX_DIGITS = 32;

    private final Map<String, Map<String, Strike>> strikesByDigest = new LinkedHashMap<>();

    private final int maxDigests;

    /**
     * Create an empty registry.
     *
     * @param maxDigests the maximum number of digests
     */
    public StrikeRegistry(int maxDigests) {
        this.maxDigests = (int) Assert.atLeast(maxDigests, 1, "maxDigests");
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
     * @return {@code false} if the strike was known, or the request has enough strikes to be refused
     */
    public boolean add(Strike strike) {
        Map<String, Strike> strikes = strikesByDigest.computeIfAbsent(strike.digest(), key -> new LinkedHashMap<>());
        boolean isNew = strikes.size() < STRIKES_TO_REFUSE && strikes.putIfAbsent(strike.incident(), strike) == null;
        if (strikesByDigest.size() > maxDigests) {
            strikesByDigest.remove(strikesByDigest.keySet().iterator().next());
        }
        return isNew;
    }

    /**
     * Withdraw a strike.
     *
     * @param digest the digest of the request
     * @param incident the incident that turned out not to be a loss
     */
    public void withdraw(String digest, String incident) {
        Map<String, Strike> strikes = strikesByDigest.get(digest);
        if (strikes != null && strikes.remove(incident) != null && strikes.isEmpty()) {
            strikesByDigest.remove(digest);
        }
    }

    /**
     * Withdraw all strikes of a request.
     *
     * @param digest the digest of the request
     */
    public void clear(String digest) {
        strikesByDigest.remove(digest);
    }

    /**
     * Return the strikes of a request.
     *
     * @param digest the digest of the request
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the strikes that have not expired
     */
    public List<Strike> strikesOf(String digest, long nowNanos) {
        Map<String, Strike> strikes = strikesByDigest.get(digest);
        if (strikes == null) {
            return List.of();
        }
        strikes.values().removeIf(strike -> nowNanos - strike.expiresAtNanos() >= 0);
        if (strikes.isEmpty()) {
            strikesByDigest.remove(digest);
        }
        return List.copyOf(strikes.values());
    }

    /**
     * Return the strikes of all requests.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the strikes that have not expired
     */
    public List<Strike> all(long nowNanos) {
        List<Strike> all = new ArrayList<>();
        List.copyOf(strikesByDigest.keySet()).forEach(digest -> all.addAll(strikesOf(digest, nowNanos)));
        return all;
    }

    /**
     * Return whether a request is suspect and has to run alone.
     *
     * @param digest the digest of the request
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return {@code true} if it has at least one strike
     */
    public boolean isSuspect(String digest, long nowNanos) {
        return !strikesOf(digest, nowNanos).isEmpty();
    }

    /**
     * Return whether a request is refused.
     *
     * @param digest the digest of the request
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return {@code true} if it has {@link #STRIKES_TO_REFUSE} strikes
     */
    public boolean isRefused(String digest, long nowNanos) {
        return strikesOf(digest, nowNanos).size() >= STRIKES_TO_REFUSE;
    }

    /**
     * Return whether no request has a strike.
     *
     * @return {@code true} if the registry holds no digest
     */
    public boolean isEmpty() {
        return strikesByDigest.isEmpty();
    }

    /**
     * Return the number of digests.
     *
     * @return the number of digests, including those whose strikes have expired but were not removed yet
     */
    public int size() {
        return strikesByDigest.size();
    }
}
