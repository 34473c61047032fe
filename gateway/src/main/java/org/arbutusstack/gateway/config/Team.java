package org.arbutusstack.gateway.config;

import java.util.OptionalInt;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * A team whose callers identify themselves by a key and share an allotment. Immutable.
 *
 * @param name the name of the team, unique in a configuration
 * @param keyDigests the digests of the keys in force; the keys themselves are not kept
 * @param priority the priority, compared before that of the route; empty if the team has none
 * @param unit the unit of the allotment
 * @param ratePerSecond the allotment of all entries together, in units per second; zero for no limit
 * @param burst the units that may be used at once beyond the rate, in all entries together
 * @param plainTokens the tokens that a request without a token count counts as
 */
public record Team(
        String name,
        Set<Digest> keyDigests,
        OptionalInt priority,
        AllotmentUnit unit,
        double ratePerSecond,
        double burst,
        int plainTokens) {

    /** Check the components and copy the set. */
    public Team {
        Assert.hasText(name, "name");
        keyDigests = Set.copyOf(keyDigests);
        Assert.notNull(priority, "priority");
        Assert.notNull(unit, "unit");
        Assert.isTrue(ratePerSecond >= 0, "'ratePerSecond' must not be negative");
        Assert.isTrue(burst >= 0, "'burst' must not be negative");
        Assert.atLeast(plainTokens, 0, "plainTokens");
    }

    /**
     * Return whether the team has an allotment.
     *
     * @return whether its requests are limited
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /** Return the name only, so that the digests of the keys never reach a log line. */
    @Override
    public String toString() {
        return "Team[" + name + ']';
    }
}
