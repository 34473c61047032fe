package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;

/** Lets tests of other packages tell a count of entries. */
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
