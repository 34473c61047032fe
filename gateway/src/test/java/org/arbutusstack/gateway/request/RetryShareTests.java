package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.arbutusstack.gateway.runner.EntryCountHarness;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.routing.RetryBudget;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the retries of all entries stay within the fleet's limit while dozens of entries join and leave. */
public class RetryShareTests {

    private static final double RATIO = 0.2;

    private static final int BURST = 106;

    private static final int STEP_MILLIS = 100;

    private static final int WINDOW_STEPS = 100;

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[30][];
        for (int seed = 0; seed < seeds.length; seed++) {
            seeds[seed] = new Object[] {(long) seed};
        }
        return seeds;
    }

    /** An entry that retries as often as permitted while runners fail. */
    private static final class Entry {

        private final RetryLimits limits = RetryLimits.ofFleet(RATIO, BURST);

        private final RetryBudget budget = RetryBudget.empty(limits.percentOfRequests(), limits.reservePerEntry(64));

        private final EntryCountHarness count;

        Entry(ManualClock clock) {
            count = new EntryCountHarness(clock);
        }

        int step(int requests, boolean failing, int entriesSeen) {
            count.report(entriesSeen);
            budget.reserve(limits.reservePerEntry(count.entries()));
            int retries = 0;
            for (int request = 0; request < requests; request++) {
                budget.requestArrived();
                while (failing && budget.tryAcquire()) {
                    retries++;
                }
            }
            return retries;
        }
    }

    @Test(dataProvider = "seeds")
    public void shouldStayWithinTheBoundOfTheFleet(long seed) {
        Random random = new Random(seed);
        ManualClock clock = new ManualClock(1_000_000_000L);
        List<Entry> entries = new ArrayList<>();
        for (int index = 0; index < 33; index++) {
            entries.add(new Entry(clock));
        }
        Deque<int[]> window = new ArrayDeque<>();
        for (int step = 0; step < 1_200; step++) {
            clock.advanceMillis(STEP_MILLIS);
            if (random.nextInt(60) == 0) {
                int leaving = random.nextInt(entries.size());
                entries.subList(0, leaving).clear();
            }
            if (entries.size() < 33 && random.nextInt(20) == 0) {
                int joining = random.nextInt(34 - entries.size());
                for (int index = 0; index < joining; index++) {
                    entries.add(new Entry(clock));
                }
            }
            boolean failing = step / 40 % 3 == 2;
            int requests = 0;
            int retries = 0;
            int present = entries.size();
            for (Entry entry : entries) {
                int own = random.nextInt(3);
                requests += own;
                boolean partitioned = random.nextInt(10) == 0;
                retries += entry.step(own, failing, partitioned ? 1 : present);
            }
            window.addLast(new int[] {requests, retries});
            if (window.size() > WINDOW_STEPS) {
                window.removeFirst();
            }
            int requested = window.stream().mapToInt(item -> item[0]).sum();
            int sent = window.stream().mapToInt(item -> item[1]).sum();
            assertTrue(sent <= RATIO * requested + BURST, "step " + step + ": " + sent + " retries of " + requested);
        }
    }

    @Test
    public void shouldDivideTheReserveByTheEntriesSeen() {
        RetryLimits limits = RetryLimits.ofFleet(RATIO, BURST);
        assertEquals(limits.reservePerEntry(4), BURST * 0.9 / 4);
        assertEquals(limits.reservePerEntry(360), 1.0);
    }
}
