package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;

/** Gives tests of other packages access to an {@link EntryCount}. */
public final class EntryCountHarness {

    private final EntryCount count;

    public EntryCountHarness(Clock clock) {
        count = new EntryCount(clock);
    }

    public void report(int entries) {
        count.report(entries);
    }

    public int entries() {
        return count.entries();
    }
}
