package org.arbutusstack.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.SystemClock;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.store.etcd.EtcdKeyValueStore;
import org.arbutusstack.testkit.kv.KeyValueFault;
import org.arbutusstack.testkit.kv.KeyValueStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TicketLog} against the stand-in of the key-value service. */
public class TicketLogTests {

    private static final long DEADLINE_MILLIS = 20_000;

    private final Clock clock = new SystemClock();

    private KeyValueStandIn standIn;

    private UndertowHttpClient client;

    @BeforeMethod
    public void start() {
        standIn = new KeyValueStandIn(0);
        standIn.start();
        client = new UndertowHttpClient("test", 1);
    }

    @AfterMethod
    public void stop() {
        client.close();
        standIn.close();
    }

    private TicketLog newLog() {
        return new TicketLog(
                new EtcdKeyValueStore(client, HttpTarget.parse(standIn.address())),
                new LogReplica(),
                List.of(new ReferenceCheck()),
                clock);
    }

    private static TicketEntry entry(long number, String version) {
        ServiceSpec service = new ServiceSpec("stitch-lm", ServiceKind.ENGINE, true);
        ModelSpec model = new ModelSpec("boot-design", "stitch-lm", version, 100, 1);
        Ticket ticket = new Ticket(number, List.of(service), List.of(model), List.of(), List.of());
        return new TicketEntry(ticket, "operator", number, "entry-1");
    }

    private AcceptResult append(TicketLog log, TicketEntry entry) {
        return log.append(entry, clock.deadlineNanos(DEADLINE_MILLIS));
    }

    @Test
    public void shouldAcceptOnceWhenSameTicketIsSubmittedTwice() {
        AcceptResult first = append(newLog(), entry(1, "v1"));
        AcceptResult second = append(newLog(), new TicketEntry(entry(1, "v1").ticket(), "other", 5, "entry-2"));
        assertFalse(((AcceptResult.Accepted) first).again());
        assertTrue(((AcceptResult.Accepted) second).again());
        assertEquals(((AcceptResult.Accepted) second).ticket().sequence(), 1);
    }

    @Test
    public void shouldRefuseWhenSameNumberHasOtherContent() {
        append(newLog(), entry(1, "v1"));
        AcceptResult second = append(newLog(), entry(1, "v2"));
        assertEquals(((AcceptResult.Refused) second).reason(), TicketRefusal.CONFLICT);
    }

    @Test
    public void shouldRefuseWhenHigherNumberIsInForce() {
        append(newLog(), entry(2, "v1"));
        AcceptResult second = append(newLog(), entry(1, "v2"));
        assertEquals(((AcceptResult.Refused) second).reason(), TicketRefusal.SUPERSEDED);
    }

    @Test
    public void shouldAcceptOnceWhenEveryAnswerIsLost() {
        TicketLog log = newLog();
        standIn.loseNextAnswers(2);
        AcceptResult result = append(log, entry(1, "v1"));
        assertEquals(((AcceptResult.Accepted) result).ticket().sequence(), 1);
        AcceptResult next = append(log, entry(2, "v2"));
        assertEquals(((AcceptResult.Accepted) next).ticket().sequence(), 2);
    }

    @Test
    public void shouldNotAcceptWhenServiceRefuses() {
        standIn.fault(KeyValueFault.REFUSE);
        assertTrue(append(newLog(), entry(1, "v1")) instanceof AcceptResult.NotAccepted);
    }
}
