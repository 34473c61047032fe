package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Policies for the number of strikes at which content is refused, by what the keys of the content identify. */
public enum StrikePolicy {
    /**
     * Keys identify whole requests. A request with one strike runs alone, so that its second strike cannot be that of
     * another request.
     */
    ISOLATED_REQUEST(2) {
        @Override
        List<Strike> independent(Collection<Strike> strikes) {
            return List.copyOf(strikes);
        }

        @Override
        boolean isOfOneRequest(String key) {
            return true;
        }
    },

    /**
     * Keys identify content that many requests have in common and that runs beside other content. A strike counts only
     * if its loss is separate from the one that counted before: requests that were in flight together when several
     * engines were lost at once say nothing about their content.
     */
    SHARED_CONTENT(3) {
        @Override
        List<Strike> independent(Collection<Strike> strikes) {
            List<Strike> ordered = strikes.stream()
                    .sorted(Comparator.comparingLong(Strike::struckAtNanos))
                    .toList();
            List<Strike> counted = new ArrayList<>();
            for (Strike strike : ordered) {
                boolean isFirst = counted.isEmpty();
                if (isFirst || strike.isSeparateFrom(counted.get(counted.size() - 1))) {
                    counted.add(strike);
                }
            }
            return counted;
        }

        @Override
        boolean isOfOneRequest(String key) {
            return ContentKeys.isOfOneRequest(key);
        }
    };

    private final int strikesToRefuse;

    StrikePolicy(int strikesToRefuse) {
        this.strikesToRefuse = strikesToRefuse;
    }

    /** Return the strikes that are independent of each other, and therefore count. */
    abstract List<Strike> independent(Collection<Strike> strikes);

    /** Return whether a key is that of one request rather than of content that many requests share. */
    abstract boolean isOfOneRequest(String key);

    /** Return whether content with a number of strikes may be refused, if all of them count. */
    boolean mayRefuse(int strikes) {
        return strikes >= strikesToRefuse;
    }

    /** Return whether content with these strikes is refused. */
    boolean isRefused(Collection<Strike> strikes) {
        return mayRefuse(strikes.size()) && mayRefuse(independent(strikes).size());
    }
}
