package org.arbutusstack.ledger.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.ledger.AcceptResult;
import org.arbutusstack.ledger.AppendOutcome;
import org.arbutusstack.ledger.LogCompactor;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.model.ticket.TicketEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the dissemination of tickets between peers under outages of the store, frozen and terminated processes. */
public class DisseminationTests {

    private static final long MAX_IN_FORCE_MILLIS = 4_000;

    private static final long SETTLE_MILLIS = 3_000;

    static TicketEntry entry(long number) {
        ServiceSpec service = new ServiceSpec("service-" + number % 10, ServiceKind.ENGINE, number % 2 == 0);
        Ticket ticket = new Ticket(number, List.of(service), List.of(), List.of(), List.of());
        return new TicketEntry(ticket, "operator", number, "entry-1");
    }

    static AcceptResult submit(FakeProcesses.Entry entry, FakeProcesses fleet, long number) {
        AcceptResult result = entry.log.append(entry(number), fleet.clock.deadlineNanos(6_000));
        if (entry.log.isCompactionDue()) {
            new LogCompactor(fleet.store, entry.replica, fleet.clock).compact(fleet.clock.deadlineNanos(6_000));
        }
        return result;
    }

    /** Builds two zones with four entries and three sides each, with one ticket in force. */
    private static FakeProcesses build() {
        FakeProcesses fleet = new FakeProcesses(500);
        for (String zone : List.of("regina", "saskatoon")) {
            for (int count = 0; count < 4; count++) {
                fleet.addEntry("prairie", zone);
            }
            for (int count = 0; count < 3; count++) {
                fleet.addSide("prairie", zone);
            }
        }
        fleet.publish();
        fleet.network.run(SETTLE_MILLIS);
        submit(fleet.entries.get(0), fleet, 1);
        fleet.network.run(SETTLE_MILLIS);
        assertEquals(fleet.countEntriesAt(1), 8);
        assertEquals(fleet.countSidesAt(1), 6);
        return fleet;
    }

    @Test
    public void shouldReachEveryRunnerByPeersWhenServiceGoesDownAfterAcceptance() {
        for (int acceptor = 0; acceptor < 8; acceptor++) {
            FakeProcesses fleet = build();
            submit(fleet.entries.get(acceptor), fleet, 2);
            fleet.store.setDown(true);
            fleet.network.run(MAX_IN_FORCE_MILLIS);
            assertEquals(fleet.countEntriesAt(2), 8, "accepted by entry " + acceptor);
            assertEquals(fleet.countSidesAt(2), 6, "accepted by entry " + acceptor);
            fleet.store.setDown(false);
            fleet.network.run(MAX_IN_FORCE_MILLIS);
            assertEquals(fleet.countSidesAt(2), 6);
        }
    }

    @Test
    public void shouldReachEveryRunnerWhenAcceptorDiesAtOnce() {
        FakeProcesses fleet = build();
        FakeProcesses.Entry acceptor = fleet.entries.get(0);
        submit(acceptor, fleet, 2);
        acceptor.process.kill();
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        assertEquals(fleet.countSidesAt(2), 6);
    }

    @Test
    public void shouldCatchUpFromSidesWhenEntryStartsInOutage() {
        FakeProcesses fleet = build();
        fleet.store.setDown(true);
        fleet.entries.forEach(entry -> entry.process.kill());
        FakeProcesses.Entry fresh = fleet.addEntry("prairie", "regina");
        fleet.publish();
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        assertEquals(fresh.replica.state().sequence(), 1);
    }

    @Test
    public void shouldCatchUpFromEntriesWhenSideStartsInOutage() {
        FakeProcesses fleet = build();
        fleet.store.setDown(true);
        FakeProcesses.Side fresh = fleet.addSide("prairie", "regina");
        fleet.publish();
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        assertEquals(fresh.replica.state().sequence(), 1);
    }

    @Test
    public void shouldCatchUpWithinSecondsWhenGapIsLong() {
        FakeProcesses fleet = build();
        for (int number = 2; number <= 1_000; number++) {
            submit(fleet.entries.get(0), fleet, number);
        }
        fleet.network.run(SETTLE_MILLIS);
        FakeProcesses.Side fresh = fleet.addSide("prairie", "regina");
        fleet.publish();
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        assertEquals(fresh.replica.state().sequence(), 1_000);
    }

    @Test
    public void shouldCatchUpFromSidesWhenEntryStartsFarBehindInOutage() {
        FakeProcesses fleet = build();
        for (int number = 2; number <= 1_000; number++) {
            submit(fleet.entries.get(0), fleet, number);
        }
        fleet.network.run(SETTLE_MILLIS);
        fleet.store.setDown(true);
        fleet.entries.forEach(entry -> entry.process.kill());
        FakeProcesses.Entry fresh = fleet.addEntry("prairie", "regina");
        fleet.publish();
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        assertEquals(fresh.replica.state(), fleet.sides.get(0).replica.state());
        assertEquals(fresh.replica.state().sequence(), 1_000);
    }

    @DataProvider
    public Object[][] relayFaults() {
        return new Object[][] {{"one relay freezes", 1, false}, {"both relays freeze", 2, false}, {"both die", 2, true}
        };
    }

    @Test(dataProvider = "relayFaults")
    public void shouldStayInForceWithinSecondsWhenRelaysFail(String name, int count, boolean die) {
        FakeProcesses fleet = build();
        assertEquals(fleet.countRelays(), 4, name);
        List<FakeProcesses.Entry> failing = fleet.entries.stream()
                .filter(entry -> entry.host.zone().equals("regina") && entry.peers.isRelay())
                .limit(count)
                .toList();
        failing.forEach(entry -> {
            if (die) {
                entry.process.kill();
            } else {
                entry.process.freeze();
            }
        });
        List<FakeProcesses.Entry> healthy =
                fleet.entries.stream().filter(entry -> !failing.contains(entry)).toList();
        FakeProcesses.Entry elsewhere = healthy.stream()
                .filter(entry -> entry.host.zone().equals("saskatoon"))
                .findFirst()
                .orElseThrow();
        submit(elsewhere, fleet, 2);
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        assertTrue(healthy.stream().allMatch(entry -> entry.replica.state().sequence() == 2), name);
        assertEquals(fleet.countSidesAt(2), 6, name);
        long relays = healthy.stream().filter(entry -> entry.peers.isRelay()).count();
        assertEquals(relays, 4, name);
        failing.forEach(entry -> entry.process.thaw());
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        assertEquals(fleet.countEntriesAt(2), die ? 6 : 8, name);
    }

    @Test
    public void shouldKeepRelaysFewWhenZoneIsLarge() {
        FakeProcesses fleet = new FakeProcesses(500);
        for (int count = 0; count < 40; count++) {
            fleet.addEntry("prairie", "regina");
        }
        fleet.publish();
        fleet.network.run(SETTLE_MILLIS);
        assertEquals(fleet.countRelays(), 2);
        long before = fleet.store.readCount();
        fleet.network.run(10_000);
        long reads = fleet.store.readCount() - before;
        assertTrue(reads <= 2 * 11, "reads in 10 s: " + reads);
    }

    @Test
    public void shouldTellFollowersOfHostsWhenRelayReadsList() {
        FakeProcesses fleet = build();
        HostList list = new HostList(List.of(fleet.entries.get(0).host));
        Map<String, HostList> received = new HashMap<>();
        fleet.entries.forEach(entry -> entry.peers.setHostsListener(hosts -> received.put(entry.host.name(), hosts)));
        fleet.entries.forEach(entry -> entry.peers.publish(list));
        fleet.network.run(500);
        long followers = fleet.entries.stream()
                .filter(entry -> !entry.peers.isRelay())
                .filter(entry -> list.equals(received.get(entry.host.name())))
                .count();
        assertEquals(followers, 4);
        assertEquals(received.size(), 4, "relays read for themselves");
        FakeProcesses.Entry late = fleet.addEntry("prairie", "regina");
        late.peers.setHostsListener(hosts -> received.put(late.host.name(), hosts));
        fleet.publish();
        fleet.network.run(SETTLE_MILLIS);
        assertTrue(late.peers.isRelay() || list.equals(received.get(late.host.name())));
    }

    @Test
    public void shouldFollowByReadingWhenWatchIsSilent() {
        FakeProcesses fleet = build();
        fleet.store.silenceWatches(true);
        FakeProcesses.Entry acceptor = fleet.entries.get(0);
        acceptor.process.freeze();
        submit(acceptor, fleet, 2);
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        assertEquals(fleet.countSidesAt(2), 6);
    }

    @DataProvider
    public Object[][] wrongPushes() {
        return new Object[][] {
            {"another chain digest", 0L, Digest.of("other"), AppendOutcome.DIVERGED},
            {"entries that follow a gap", 2L, Digest.of("other"), AppendOutcome.GAP},
        };
    }

    @Test(dataProvider = "wrongPushes")
    public void shouldNotApplyEntriesWhenPushIsWrong(String name, long after, Digest chain, AppendOutcome expected) {
        LogReplica replica = new LogReplica();
        assertEquals(replica.append(after, List.of(entry(1)), chain), expected, name);
        assertEquals(replica.state().sequence(), 0, name);
    }
}
