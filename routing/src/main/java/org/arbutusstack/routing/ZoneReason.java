package org.arbutusstack.routing;

import java.util.Locale;

/** Reason for which a request stays in the availability zone of its entry or leaves it. */
public enum ZoneReason {

    /** The request stays: no other zone can serve it. */
    ONLY_HOME(false),

    /** The request stays: it is not part of the share that leaves. */
    HOME(false),

    /** The request stays: its target is far beyond what the home zone needs. */
    IN_TIME(false),

    /** The request stays: its zone of overflow has become slower than the home zone. */
    NO_GAIN(false),

    /** The request stays: the other zones have no free slot or need what they have for their own requests. */
    OTHERS_FULL(false),

    /** The request stays: it would be late in its zone of overflow as well. */
    LATE_ANYWHERE(false),

    /** The request leaves as part of the share. */
    SHARE(true),

    /** The request leaves: no runner at home would begin in time, and another zone has room. */
    LATE_AT_HOME(true),

    /** The request leaves: no runner at home can serve it. */
    ONLY_ELSEWHERE(true);

    private final boolean leaving;

    ZoneReason(boolean leaving) {
        this.leaving = leaving;
    }

    /**
     * Return whether the request leaves its zone.
     *
     * @return whether only runners of other zones may serve it
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Return the name for metrics and logs.
     *
     * @return the name in lower case with dashes
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
