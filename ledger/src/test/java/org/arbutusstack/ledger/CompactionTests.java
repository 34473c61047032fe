package org.arbutusstack.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.ledger.ScriptedStore.Fault;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ticket.AdapterSpec;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ObjectId;
import org.arbutusstack.model.ticket.ObjectKind;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.model.ticket.TicketEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests snapshots, the bounds of stored values and replicas, and the correctness of the log after a compaction. */
public class CompactionTests {

    private static final long DEADLINE_MILLIS = 60_000;

    private static final int MAX_VALUE_BYTES = 1_000_000;

    private ManualClock clock;

    private ScriptedStore store;

    private LogReplica replica;

    private TicketLog log;

    private LogCompactor compactor;

    @BeforeMethod
    public void start() {
        clock = new ManualClock(1);
        store = new ScriptedStore(clock);
        replica = new LogReplica();
        log = new TicketLog(store, replica, List.of(), clock);
        compactor = new LogCompactor(store, replica, clock);
    }

    private static TicketEntry entryOf(Ticket ticket) {
        return new TicketEntry(ticket, "operator", ticket.number(), "entry-1");
    }

    private static TicketEntry smallEntry(long number, String version) {
        ModelSpec model = new ModelSpec("model-" + number % 250, "stitch-lm", version, 100, 1);
        return entryOf(new Ticket(number, List.of(), List.of(model), List.of(), List.of()));
    }

    private static TicketEntry adapterEntry(long number, int from, int to) {
        List<AdapterSpec> adapters = IntStream.range(from, to)
                .mapToObj(index ->
                        new AdapterSpec("coulee-cleats-squad-" + index, "model-" + index % 250, "2026-12-04.1", 64))
                .toList();
        return entryOf(new Ticket(number, List.of(), List.of(), adapters, List.of()));
    }

    private static TicketEntry byOtherOperator(TicketEntry entry) {
        return new TicketEntry(entry.ticket(), "other", entry.submittedAtMillis() + 1, "entry-2");
    }

    private AcceptResult submit(TicketEntry entry) {
        return log.append(entry, clock.deadlineNanos(DEADLINE_MILLIS));
    }

    private boolean compact() {
        return compactor.compact(clock.deadlineNanos(DEADLINE_MILLIS));
    }

    /** Submits small tickets with even numbers and compacts the log when a compaction is due. */
    private void fill(long from, long to) {
        for (long number = from; number <= to; number += 2) {
            assertTrue(submit(smallEntry(number, "v1")) instanceof AcceptResult.Accepted);
            if (log.isCompactionDue()) {
                compact();
            }
        }
    }

    private LogHead head() {
        return JsonCodec.read(store.value(LogKeys.HEAD), LogHead.class);
    }

    private LogReplica newReplica() {
        LogReplica copy = new LogReplica();
        boolean current = new LogReader(store, copy, clock)
                .catchUp(clock.deadlineNanos(DEADLINE_MILLIS))
                .isPresent();
        assertTrue(current);
        assertEquals(copy.state(), replica.state());
        return copy;
    }

    @Test
    public void shouldKeepValuesSmallWhenStateIsLarge() {
        submit(entryOf(new Ticket(
                1, List.of(new ServiceSpec("stitch-lm", ServiceKind.ENGINE, true)), List.of(), List.of(), List.of())));
        submit(adapterEntry(2, 0, 2_500));
        submit(adapterEntry(4, 2_500, 5_000));
        fill(6, 1_700);
        assertTrue(store.maxValueBytes() < MAX_VALUE_BYTES, "longest value " + store.maxValueBytes());
        assertTrue(
                head().snapshot().parts().size() > 1,
                "parts " + head().snapshot().parts().size());
        assertTrue(head().tail().size() <= LogCompactor.COMPACTION_THRESHOLD_ENTRIES + 128);
        long before = store.readCount();
        LogReplica copy = newReplica();
        assertEquals(copy.state().adapters().size(), 5_000);
        assertTrue(store.readCount() - before <= LogCompactor.COMPACTION_THRESHOLD_ENTRIES + 128 + 4);
        long parts = store.rows().keySet().stream()
                .filter(key -> key.startsWith("/arbutus/log/snapshots/"))
                .count();
        assertEquals(parts, head().snapshot().parts().size());
    }

    @DataProvider
    public Object[][] resubmissions() {
        return new Object[][] {
            {"long ago, same content", 10L, "v1", "again"},
            {"long ago, other content", 10L, "v2", "conflict"},
            {"lately, same content", 2_900L, "v1", "again"},
            {"lately, other content", 2_900L, "v2", "conflict"},
            {"a number never used, below others on the same object", 1_001L, "v2", "accepted"},
            {"a number never used, above all", 3_001L, "v2", "accepted"},
        };
    }

    @Test(dataProvider = "resubmissions")
    public void shouldSettleNumberWhenLogWasCompacted(String name, long number, String version, String expected) {
        fill(2, 3_000);
        for (LogReplica copy : List.of(replica, newReplica())) {
            TicketLog other = new TicketLog(store, copy, List.of(), clock);
            TicketEntry entry = number % 2 == 0 ? smallEntry(number, version) : unrelated(number);
            AcceptResult result = other.append(byOtherOperator(entry), clock.deadlineNanos(DEADLINE_MILLIS));
            String actual = result instanceof AcceptResult.Refused refused
                    ? refused.reason().label()
                    : ((AcceptResult.Accepted) result).again() ? "again" : "accepted";
            assertEquals(actual, expected, name);
            if (expected.equals("accepted")) {
                return;
            }
            if (result instanceof AcceptResult.Accepted accepted) {
                assertEquals(accepted.ticket().sequence(), number / 2, name);
            }
        }
    }

    private static TicketEntry unrelated(long number) {
        ModelSpec model = new ModelSpec("unrelated-" + number, "stitch-lm", "v1", 100, 1);
        return entryOf(new Ticket(number, List.of(), List.of(model), List.of(), List.of()));
    }

    @DataProvider
    public Object[][] compactionFaults() {
        List<Object[]> rows = new ArrayList<>();
        for (Fault fault : List.of(Fault.LOST_CALL, Fault.LOST_ANSWER, Fault.REFUSED, Fault.LATE)) {
            for (int write = 1; write <= 8; write++) {
                rows.add(new Object[] {fault, write});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "compactionFaults")
    public void shouldLoseNothingWhenOneWriteOfCompactionFails(Fault fault, int write) {
        for (long number = 2; number <= 2 * LogCompactor.COMPACTION_THRESHOLD_ENTRIES; number += 2) {
            submit(smallEntry(number, "v1"));
        }
        store.faultAtWrite(write, fault);
        compact();
        compact();
        assertEquals(head().snapshot().sequence(), LogCompactor.COMPACTION_THRESHOLD_ENTRIES);
        newReplica();
        fill(2 * LogCompactor.COMPACTION_THRESHOLD_ENTRIES + 2, 3_000);
        assertEquals(newReplica().state().sequence(), 1_500);
        TicketLog other = new TicketLog(store, newReplica(), List.of(), clock);
        AcceptResult old = other.append(byOtherOperator(smallEntry(20, "v1")), clock.deadlineNanos(DEADLINE_MILLIS));
        assertTrue(((AcceptResult.Accepted) old).again());
    }

    @Test
    public void shouldKeepTicketWhenItIsAcceptedDuringCompaction() {
        for (long number = 2; number <= 2 * LogCompactor.COMPACTION_THRESHOLD_ENTRIES; number += 2) {
            submit(smallEntry(number, "v1"));
        }
        TicketLog other = new TicketLog(store, newReplica(), List.of(), clock);
        store.runBeforeNextSwap(() -> other.append(smallEntry(9_000, "v1"), clock.deadlineNanos(DEADLINE_MILLIS)));
        assertTrue(compact());
        assertEquals(head().sequence(), LogCompactor.COMPACTION_THRESHOLD_ENTRIES + 1);
        assertEquals(newReplica().state().highestNumber(), 9_000);
        long parts = store.rows().keySet().stream()
                .filter(key -> key.startsWith("/arbutus/log/snapshots/"))
                .count();
        assertEquals(parts, head().snapshot().parts().size(), "parts of the race that was lost are deleted");
    }

    @Test
    public void shouldNameEveryEntryWhenHistoryIsFollowedFromHead() {
        fill(2, 3_000);
        LogHead head = head();
        List<String> digests = new ArrayList<>(head.digestsSinceSnapshot());
        String next = head.snapshot().history();
        while (store.rows().containsKey(LogKeys.history(next))) {
            HistorySegment segment = JsonCodec.read(store.value(LogKeys.history(next)), HistorySegment.class);
            assertEquals(segment.digest().hex(), next);
            digests.addAll(0, segment.entries());
            next = segment.previous();
        }
        assertEquals(digests.size(), 1_500);
        assertEquals(digests.get(0), smallEntry(2, "v1").digest().hex());
        assertTrue(digests.stream().allMatch(digest -> store.rows()
                .containsKey(LogKeys.entry(new org.arbutusstack.kernel.digest.Digest(digest)))));
    }

    @Test
    public void shouldBoundReplicaWhenObjectsAreAddedAndRemoved() {
        for (long number = 1; number <= 6_000; number += 2) {
            submit(unrelated(number));
            ObjectId id = new ObjectId(ObjectKind.MODEL, "unrelated-" + number);
            submit(entryOf(new Ticket(number + 1, List.of(), List.of(), List.of(), List.of(id))));
            if (log.isCompactionDue()) {
                compact();
            }
        }
        assertTrue(replica.state().ticketNumbers().size() <= 2_049);
        assertTrue(replica.snapshot().marks().size() <= 1_024);
        assertFalse(replica.isRetained(6_000 - 513));
        assertTrue(replica.isRetained(6_000 - 512));
        newReplica();
        assertTrue(((AcceptResult.Accepted) submit(byOtherOperator(unrelated(7)))).again());
        ModelSpec model = new ModelSpec("unrelated-7", "stitch-lm", "v2", 100, 1);
        Ticket lower = new Ticket(9, List.of(), List.of(model), List.of(), List.of());
        assertEquals(
                ((AcceptResult.Refused) submit(entryOf(lower))).reason(),
                TicketRefusal.CONFLICT,
                "the number is taken");
        Ticket higher = new Ticket(8_000, List.of(), List.of(model), List.of(), List.of());
        assertTrue(submit(entryOf(higher)) instanceof AcceptResult.Accepted);
    }

    @Test
    public void shouldRefuseLowerNumberWhenRemovalIsForgotten() {
        for (long number = 100; number <= 12_000; number += 4) {
            submit(unrelated(number));
            ObjectId id = new ObjectId(ObjectKind.MODEL, "unrelated-" + number);
            submit(entryOf(new Ticket(number + 1, List.of(), List.of(), List.of(), List.of(id))));
            if (log.isCompactionDue()) {
                compact();
            }
        }
        ModelSpec model = new ModelSpec("unrelated-100", "stitch-lm", "v2", 100, 1);
        AcceptResult result = submit(entryOf(new Ticket(99, List.of(), List.of(model), List.of(), List.of())));
        assertEquals(((AcceptResult.Refused) result).reason(), TicketRefusal.SUPERSEDED);
    }
}
