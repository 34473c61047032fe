package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Rule that refuses requests whose content includes all of the given keys.
 *
 * <p>A rule has several keys as long as these were struck in exactly the same losses: content with only some of them is
 * still served, which shows which of them is harmful.
 *
 * @param keys the keys
 * @param strikes the number of engines that were lost
 * @param lastStruckAtNanos when the last engine was lost, in nanoseconds of the clock of this process
 * @param expiresAtNanos when the rule expires, in nanoseconds of the clock of this process
 */
public record QuarantineRule(Set<String> keys, int strikes, long lastStruckAtNanos, long expiresAtNanos) {

    /** Validate the rule and copy the keys. */
    public QuarantineRule {
        keys = Set.copyOf(keys);
        Assert.isTrue(!keys.isEmpty(), "'keys' must not be empty");
    }

    /**
     * Return the keys in a fixed order.
     *
     * @return the keys joined by commas
     */
    public String joinedKeys() {
        return String.join(",", new TreeSet<>(keys));
    }

    /**
     * Describe the rule to the caller of a refused request.
     *
     * @param clock the clock of this process
     * @return the keys and the evidence, as one sentence
     */
    public String describe(Clock clock) {
        return "held to crash runners: " + joinedKeys() + "; " + strikes + " crashes, the last "
                + clock.millisSince(lastStruckAtNanos) + " ms ago";
    }

    /**
     * Return whether the rule refuses a request.
     *
     * @param contentKeys the keys of its content
     * @return whether they include all keys of the rule
     */
    public boolean refuses(Collection<String> contentKeys) {
        return contentKeys.containsAll(keys);
    }
}
