package org.arbutusstack.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.ledger.ScriptedStore.Fault;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.store.KeyValue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the acceptance of tickets under outages, lost and delayed responses, stale reads and races. */
public class TicketLogFaultTests {

    private static final long DEADLINE_MILLIS = 6_000;

    private ManualClock clock;

    private ScriptedStore store;

    @BeforeMethod
    public void start() {
        clock = new ManualClock(1);
        store = new ScriptedStore(clock);
    }

    private TicketLog newLog(LogReplica replica, TicketCheck... checks) {
        return new TicketLog(store, replica, List.of(checks), clock);
    }

    static TicketEntry entry(long number, String version) {
        ServiceSpec service = new ServiceSpec("stitch-lm", ServiceKind.ENGINE, true);
        ModelSpec model = new ModelSpec("boot-design", "stitch-lm", version, 100, 1);
        Ticket ticket = new Ticket(number, List.of(service), List.of(model), List.of(), List.of());
        return new TicketEntry(ticket, "operator", number, "entry-1");
    }

    private AcceptResult append(TicketLog log, TicketEntry entry) {
        return log.append(entry, clock.deadlineNanos(DEADLINE_MILLIS));
    }

    private LogHead head() {
        return JsonCodec.read(store.value(LogKeys.HEAD), LogHead.class);
    }

    @DataProvider
    public Object[][] settledFaults() {
        return new Object[][] {
            {"the answer of the swap is lost", new Fault[] {Fault.LOST_ANSWER}, new Fault[] {}},
            {"the call of the swap is lost", new Fault[] {Fault.LOST_CALL}, new Fault[] {}},
            {"the swap takes effect after a later read", new Fault[] {Fault.LATE}, new Fault[] {}},
            {"the swap is late twice", new Fault[] {Fault.LATE, Fault.LATE}, new Fault[] {}},
            {
                "the answer is lost, and the next read",
                new Fault[] {Fault.LOST_ANSWER},
                new Fault[] {Fault.NONE, Fault.LOST_CALL}
            },
            {"the call is lost, then refused", new Fault[] {Fault.LOST_CALL, Fault.REFUSED}, new Fault[] {}},
            {"the connection of the first read is silent", new Fault[] {}, new Fault[] {Fault.SILENT}},
            {
                "the connection is silent after the swap",
                new Fault[] {Fault.LOST_ANSWER},
                new Fault[] {Fault.NONE, Fault.SILENT}
            },
        };
    }

    @Test(dataProvider = "settledFaults")
    public void shouldAcceptOnceWhenCallsFail(String name, Fault[] swaps, Fault[] reads) {
        store.scriptSwaps(swaps).scriptReads(reads);
        AcceptResult result = append(newLog(new LogReplica()), entry(1, "v1"));
        assertTrue(result instanceof AcceptResult.Accepted, name + ": " + result);
        assertEquals(head().sequence(), 1, name);
        AcceptResult again = append(newLog(new LogReplica()), entry(1, "v1"));
        assertEquals(((AcceptResult.Accepted) again).ticket().sequence(), 1, name);
        assertEquals(head().sequence(), 1, name);
    }

    @Test
    public void shouldNotRefuseWhenCheckTurnsWhileSwapIsUnknown() {
        boolean[] checked = {false};
        TicketCheck changingCheck = (ticket, before, after) -> {
            Optional<String> violation = checked[0] ? Optional.of("no room") : Optional.empty();
            checked[0] = true;
            return violation;
        };
        store.scriptSwaps(Fault.LATE);
        AcceptResult result = append(newLog(new LogReplica(), changingCheck), entry(1, "v1"));
        assertTrue(result instanceof AcceptResult.Accepted, result.toString());
        assertEquals(head().sequence(), 1);
    }

    @Test
    public void shouldSayUndecidedThenAcceptedWhenServiceGoesDownAfterSwap() {
        TicketLog log = newLog(new LogReplica());
        Fault[] reads = new Fault[10];
        java.util.Arrays.fill(reads, Fault.SILENT);
        reads[0] = Fault.NONE;
        store.scriptSwaps(Fault.LOST_ANSWER).scriptReads(reads);
        AcceptResult first = append(log, entry(1, "v1"));
        assertTrue(first instanceof AcceptResult.Undecided, first.toString());
        store.clearFaults();
        AcceptResult again = append(log, entry(1, "v1"));
        assertEquals(((AcceptResult.Accepted) again).ticket().sequence(), 1);
        assertEquals(head().sequence(), 1);
    }

    @Test
    public void shouldNotAcceptWhenServiceIsDownBefore() {
        store.setDown(true);
        AcceptResult result = append(newLog(new LogReplica()), entry(1, "v1"));
        assertTrue(result instanceof AcceptResult.NotAccepted, result.toString());
        assertTrue(store.rows().isEmpty());
    }

    @Test
    public void shouldNotForkWhenServiceReturnsWithOlderHead() {
        LogReplica replica = new LogReplica();
        TicketLog log = newLog(replica);
        append(log, entry(1, "v1"));
        byte[] older = store.value(LogKeys.HEAD);
        append(log, entry(2, "v2"));
        store.put(LogKeys.HEAD, older);
        AcceptResult result = append(log, entry(3, "v3"));
        assertTrue(result instanceof AcceptResult.NotAccepted, result.toString());
        assertEquals(replica.state().sequence(), 2);
        assertEquals(head().sequence(), 1);
    }

    @DataProvider
    public Object[][] damages() {
        return new Object[][] {
            {"the head's chain is another", true, false},
            {"the entry's content is another", false, false},
            {"the entry is malformed", false, true},
        };
    }

    @Test(dataProvider = "damages")
    public void shouldNotApplyEntriesWhenStoredLogIsCorrupt(String name, boolean chain, boolean malformed) {
        append(newLog(new LogReplica()), entry(1, "v1"));
        String key = LogKeys.entry(entry(1, "v1").digest());
        if (chain) {
            String text = new String(store.value(LogKeys.HEAD), StandardCharsets.UTF_8);
            String wrong = text.replace(head().chain(), Digest.of("other").hex());
            store.put(LogKeys.HEAD, wrong.getBytes(StandardCharsets.UTF_8));
        } else {
            byte[] other = malformed ? new byte[] {'{'} : JsonCodec.write(entry(1, "v9"));
            store.put(key, other);
        }
        LogReplica replica = new LogReplica();
        AcceptResult result = append(newLog(replica), entry(2, "v2"));
        assertTrue(result instanceof AcceptResult.NotAccepted, name + ": " + result);
        assertEquals(replica.state().sequence(), 0, name);
    }

    @DataProvider
    public Object[][] races() {
        return new Object[][] {
            {"the other's number is higher", 1, 2, "superseded"},
            {"the other's number is lower", 2, 1, "accepted"},
            {"the number is the same, the content is not", 3, 3, "conflict"},
        };
    }

    @Test(dataProvider = "races")
    public void shouldDecideByNumberWhenTwoOperatorsRace(String name, long mine, long theirs, String expected) {
        TicketLog other = newLog(new LogReplica());
        store.runBeforeNextSwap(() -> append(other, entry(theirs, "theirs")));
        LogReplica replica = new LogReplica();
        AcceptResult result = append(newLog(replica), entry(mine, "mine"));
        String actual = result instanceof AcceptResult.Refused refused
                ? refused.reason().label()
                : "accepted";
        assertEquals(actual, expected, name);
        assertEquals(head().sequence(), expected.equals("accepted") ? 2 : 1, name);
        assertEquals(replica.state().chain().hex(), head().chain(), name);
    }

    @Test
    public void shouldRefuseWhenTicketIsOversized() {
        List<ModelSpec> models = java.util.stream.IntStream.range(0, 10_000)
                .mapToObj(index -> new ModelSpec("boot-design-" + index, "stitch-lm", "v1", 100, 1))
                .toList();
        Ticket ticket = new Ticket(1, List.of(), models, List.of(), List.of());
        TicketEntry large = new TicketEntry(ticket, "operator", 1, "entry-1");
        AcceptResult result = append(newLog(new LogReplica()), large);
        assertEquals(((AcceptResult.Refused) result).reason().label(), "oversized");
        assertTrue(store.rows().isEmpty());
    }

    @Test
    public void shouldKeepNewerStateWhenLaggingWatchReportsOlderHead() {
        LogReplica replica = new LogReplica();
        TicketLog log = newLog(replica);
        append(log, entry(1, "v1"));
        KeyValue older = store.rows().get(LogKeys.HEAD);
        append(log, entry(2, "v2"));
        assertEquals(log.reader().catchUpTo(older, clock.deadlineNanos(DEADLINE_MILLIS)), CatchUpResult.STALE);
        assertEquals(replica.state().sequence(), 2);
        assertEquals(replica.state().models().get("boot-design").version(), "v2");
    }
}
