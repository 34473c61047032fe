package org.arbutusstack.gateway.quarantine;

/**
 * Load of a {@link PlainServiceReplay}.
 *
 * @param entries the number of entries
 * @param servers the number of servers
 * @param safePerSecond the sound requests that an entry repeats
 * @param unsafePerSecond the sound requests that an entry does not repeat
 * @param harmfulPerSecond the requests that crash servers, which are safe ones
 * @param harmfulRequests how many different ones there are
 * @param popularShare the share of the safe sound requests that are one and the same
 * @param failuresPerSecond the failures that end all servers at once
 * @param trouble what makes crashes hard to notice or to share
 */
record PlainServiceLoad(
        int entries,
        int servers,
        double safePerSecond,
        double unsafePerSecond,
        double harmfulPerSecond,
        int harmfulRequests,
        double popularShare,
        double failuresPerSecond,
        Trouble trouble) {

    PlainServiceLoad(
            int entries,
            int servers,
            double safePerSecond,
            double unsafePerSecond,
            double harmfulPerSecond,
            int harmfulRequests,
            double popularShare,
            double failuresPerSecond) {
        this(
                entries,
                servers,
                safePerSecond,
                unsafePerSecond,
                harmfulPerSecond,
                harmfulRequests,
                popularShare,
                failuresPerSecond,
                Trouble.NONE);
    }

    PlainServiceLoad with(Trouble next) {
        return new PlainServiceLoad(
                entries,
                servers,
                safePerSecond,
                unsafePerSecond,
                harmfulPerSecond,
                harmfulRequests,
                popularShare,
                failuresPerSecond,
                next);
    }

    PlainServiceLoad withPopular(double share) {
        return new PlainServiceLoad(
                entries,
                servers,
                safePerSecond,
                unsafePerSecond,
                harmfulPerSecond,
                harmfulRequests,
                share,
                failuresPerSecond,
                trouble);
    }

    PlainServiceLoad withFailures(double perSecond) {
        return new PlainServiceLoad(
                entries,
                servers,
                safePerSecond,
                unsafePerSecond,
                harmfulPerSecond,
                harmfulRequests,
                popularShare,
                perSecond,
                trouble);
    }

    /** What makes crashes hard to notice or to share. */
    enum Trouble {
        NONE,
        /** Servers restart under their identifiers, do not state their start, and are listed a while later. */
        LISTED_LATE,
        /** No side passes strikes on; the first entry plans. */
        SIDES_LOST,
        /** The callers of harmful requests leave soon, and the servers go on with what is cancelled. */
        CALLERS_LEAVE
    }
}
