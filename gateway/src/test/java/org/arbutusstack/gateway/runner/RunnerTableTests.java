package org.arbutusstack.gateway.runner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Tests which runners are retained across outages of the directory. */
public class RunnerTableTests {

    private static final String SERVICE = "s";

    private final ManualClock clock = new ManualClock(1);

    private static RunnerEntry entry(String id, long startedAtMillis, boolean leaving) {
        return new RunnerEntry(id, SERVICE, new HttpTarget("10.0.0.1", 80), "z", startedAtMillis, 8, leaving, Map.of());
    }

    private RunnerTable settledTable() {
        RunnerTable table = new RunnerTable(clock);
        clock.advanceMillis(5_000);
        table.put(entry("a", 1, false));
        return table;
    }

    @Test
    public void shouldRemoveAtOnceWhenEntryEndsWhileDirectoryAnswers() {
        RunnerTable table = settledTable();
        table.remove("a");
        assertTrue(table.takingWork(SERVICE).isEmpty());
    }

    @Test
    public void shouldRetainExpiredEntryUntilTwoSecondsAfterOutage() {
        RunnerTable table = settledTable();
        table.directoryLost();
        table.remove("a");
        clock.advanceMillis(60_000);
        table.tick();
        assertEquals(table.takingWork(SERVICE).size(), 1);
        table.directoryRegained();
        clock.advanceMillis(2_000);
        table.tick();
        assertEquals(table.takingWork(SERVICE).size(), 1);
        clock.advanceMillis(300);
        table.tick();
        assertTrue(table.takingWork(SERVICE).isEmpty());
    }

    @Test
    public void shouldRetainRunnerWhenItsEntryReturns() {
        RunnerTable table = settledTable();
        table.directoryRegained();
        table.replaceAll(List.of());
        table.put(entry("a", 1, false));
        clock.advanceMillis(10_000);
        table.tick();
        assertEquals(table.takingWork(SERVICE).size(), 1);
    }

    @Test
    public void shouldRemoveLeavingRunnerAtOnceAfterOutage() {
        RunnerTable table = settledTable();
        table.put(entry("a", 1, true));
        table.directoryRegained();
        table.remove("a");
        assertTrue(table.all().isEmpty());
    }

    /** Guards against work for a runner that leaves, since an older copy of the directory still lists it as ready. */
    @Test
    public void shouldSendNothingMoreToLeavingRunnerWhenOlderEntryIsReadAgain() {
        for (boolean isRemovedMeanwhile : new boolean[] {false, true}) {
            RunnerTable table = settledTable();
            table.put(entry("a", 1, true));
            if (isRemovedMeanwhile) {
                table.remove("a");
            }
            table.replaceAll(List.of(entry("a", 1, false)));
            clock.advanceMillis(20_000);
            table.tick();
            table.put(entry("a", 1, false));
            assertTrue(table.takingWork(SERVICE).isEmpty());
            table.put(entry("a", 2, false));
            assertEquals(table.takingWork(SERVICE).size(), 1);
        }
    }

    /** Guards against excluding a runner that starts again under its identifier and does not state its start. */
    @Test
    public void shouldSendToReadyRunnerAgainWhenStartIsNotStated() {
        for (boolean isRemovedMeanwhile : new boolean[] {false, true}) {
            RunnerTable table = settledTable();
            table.remove("a");
            table.put(entry("a", 0, true));
            if (isRemovedMeanwhile) {
                table.remove("a");
            }
            table.put(entry("a", 0, false));
            assertEquals(table.takingWork(SERVICE).size(), 1);
        }
    }

    @Test
    public void shouldReplaceRunnerWhenALaterIncarnationHasTheSameId() {
        RunnerTable table = settledTable();
        KnownRunner former = table.byId("a");
        table.put(entry("a", 2, false));
        assertFalse(former.takesWork());
        assertTrue(table.byId("a").takesWork());
        table.put(entry("a", 1, false));
        assertEquals(table.byId("a").entry().startedAtMillis(), 2);
    }

    @Test
    public void shouldSendNothingMoreWhenRunnerIsLeaving() {
        RunnerTable table = settledTable();
        table.put(entry("a", 1, true));
        assertTrue(table.takingWork(SERVICE).isEmpty());
    }

    @Test
    public void shouldSendNothingToEarlierRunnerWhenAnotherStartedAtItsAddress() {
        RunnerTable table = settledTable();
        table.put(entry("b", 2, false));
        assertEquals(ids(table), List.of("b"));
        RunnerTable reversed = new RunnerTable(clock);
        reversed.put(entry("b", 2, false));
        reversed.put(entry("a", 1, false));
        assertEquals(ids(reversed), List.of("b"));
    }

    private static List<String> ids(RunnerTable table) {
        return table.takingWork(SERVICE).stream()
                .map(runner -> runner.entry().id())
                .toList();
    }
}
