package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Counts the engines that were lost while they ran a request, by the digest of its content.
 *
 * <p>A request with one strike is a suspect and runs alone; one with two is refused. Holds a bounded number of digests;
 * the oldest is forgotten first. To be used by one thread.
 */
public final class StrikeRegistry {

    /** The strikes at which a request is refused. */
    public static final int STRIKES_TO_REFUSE = 2;

    private static final int DIGEST_DIGITS = 32;

    private final Map<String, Map<String, Strike>> strikesByDigest = new LinkedHashMap<>();

    private final int mostDigests;

    /**
     * Creates a book.
     *
     * @param mostDigests the digests held at once
     */
    public StrikeRegistry(int mostDigests) {
        this.mostDigests = (int) Assert.atLeast(mostDigests, 1, "mostDigests");
    }

    /**
     * Names the content of a request.
     *
     * @param model the model
     * @param adapter the adapter; empty for none
     * @param body the body
     * @return its digest
     */
    public static String digestOf(String model, String adapter, byte[] body) {
        Digest target = Digest.of(model + '\n' + adapter);
        return target.chain(Digest.of(body)).hex().substring(0, DIGEST_DIGITS);
    }

    /**
     * Adds a strike.
     *
     * @param strike the strike
     * @return whether it was not known
     */
    public boolean add(Strike strike) {
        Map<String, Strike> strikes = strikesByDigest.computeIfAbsent(strike.digest(), key -> new LinkedHashMap<>());
        boolean isNew = strikes.size() < STRIKES_TO_REFUSE && strikes.putIfAbsent(strike.incident(), strike) == null;
        if (strikesByDigest.size() > mostDigests) {
            strikesByDigest.remove(strikesByDigest.keySet().iterator().next());
        }
        return isNew;
    }

    /**
     * Takes a strike back.
     *
     * @param digest the digest
     * @param incident the loss that was none
     */
    public void withdraw(String digest, String incident) {
        Map<String, Strike> strikes = strikesByDigest.get(digest);
        if (strikes != null && strikes.remove(incident) != null && strikes.isEmpty()) {
            strikesByDigest.remove(digest);
        }
    }

    /**
     * Takes all strikes of a request back.
     *
     * @param digest the digest
     */
    public void clear(String digest) {
        strikesByDigest.remove(digest);
    }

    /**
     * Lists the strikes of a request.
     *
     * @param digest the digest
     * @param nowNanos the time
     * @return those that have not expired
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
     * Lists all strikes.
     *
     * @param nowNanos the time
     * @return those that have not expired
     */
    public List<Strike> all(long nowNanos) {
        List<Strike> all = new ArrayList<>();
        List.copyOf(strikesByDigest.keySet()).forEach(digest -> all.addAll(strikesOf(digest, nowNanos)));
        return all;
    }

    /**
     * Tells whether a request is to run alone.
     *
     * @param digest the digest
     * @param nowNanos the time
     * @return whether it has a strike
     */
    public boolean isSuspect(String digest, long nowNanos) {
        return !strikesOf(digest, nowNanos).isEmpty();
    }

    /**
     * Tells whether a request is refused.
     *
     * @param digest the digest
     * @param nowNanos the time
     * @return whether it has as many strikes as that takes
     */
    public boolean isRefused(String digest, long nowNanos) {
        return strikesOf(digest, nowNanos).size() >= STRIKES_TO_REFUSE;
    }

    /**
     * Tells whether no request has a strike.
     *
     * @return whether the book is empty
     */
    public boolean isEmpty() {
        return strikesByDigest.isEmpty();
    }

    /**
     * Counts the digests.
     *
     * @return the number held
     */
    public int size() {
        return strikesByDigest.size();
    }
}
