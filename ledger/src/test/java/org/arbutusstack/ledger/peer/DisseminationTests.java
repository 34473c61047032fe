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

/** Brings about outages, freezes and deaths while tickets spread from peer to peer. */
public class DisseminationTests {

    private static final long IN_FORCE_MILLIS = 4_000;

    private static final long SETTLE_MILLIS = 3_000;

    static TicketEntry entry(long number) {
        ServiceSpec service = new ServiceSpec("service-" + number % 10, ServiceKind.ENGINE, number % 2 == 0);
        Ticket ticket = new Ticket(number, List.of(service), List.of(), List.of(), List.of());
        return new TicketEntry(ticket, "operator", number, "entry-1");
    }

    static AcceptResult submit(FakeProcesses.Entry entry, FakeProcesses all, long number) {
        AcceptResult result = entry.log.append(entry(number), all.clock.deadlineNanos(6_000));
        if (entry.log.isCompactionDue()) {
            new LogCompactor(all.store, entry.replica, all.clock).compact(all.clock.deadlineNanos(6_000));
        }
        return result;
    }

    /** Builds two zones with four entries each, six sides, one ticket in force. */
    private static FakeProcesses build() {
        FakeProcesses all = new FakeProcesses(500);
        for (String zone : List.of("regina", "saskatoon")) {
            for (int count = 0; count < 4; count++) {
                all.addEntry("prairie", zone);
            }
            for (int count = 0; count < 3; count++) {
                all.addSide("prairie", zone);
            }
        }
        all.publish();
        all.network.run(SETTLE_MILLIS);
        submit(all.entries.get(0), all, 1);
        all.network.run(SETTLE_MILLIS);
        assertEquals(all.entriesIn(1), 8);
        assertEquals(all.sidesIn(1), 6);
        return all;
    }

    @Test
    public void shouldReachEveryRunnerByPeersWhenServiceGoesDownAfterAcceptance() {
        for (int acceptor = 0; acceptor < 8; acceptor++) {
            FakeProcesses all = build();
            submit(all.entries.get(acceptor), all, 2);
            all.store.down(true);
            all.network.run(IN_FORCE_MILLIS);
            assertEquals(all.entriesIn(2), 8, "accepted by entry " + acceptor);
            assertEquals(all.sidesIn(2), 6, "accepted by entry " + acceptor);
            all.store.down(false);
            all.network.run(IN_FORCE_MILLIS);
            assertEquals(all.sidesIn(2), 6);
        }
    }

    @Test
    public void shouldReachEveryRunnerWhenAcceptorDiesAtOnce() {
        FakeProcesses all = build();
        FakeProcesses.Entry acceptor = all.entries.get(0);
        submit(acceptor, all, 2);
        acceptor.process.kill();
        all.network.run(IN_FORCE_MILLIS);
        assertEquals(all.sidesIn(2), 6);
    }

    @Test
    public void shouldCatchUpFromSidesWhenEntryStartsInOutage() {
        FakeProcesses all = build();
        all.store.down(true);
        all.entries.forEach(entry -> entry.process.kill());
        FakeProcesses.Entry fresh = all.addEntry("prairie", "regina");
        all.publish();
        all.network.run(IN_FORCE_MILLIS);
        assertEquals(fresh.replica.state().sequence(), 1);
    }

    @Test
    public void shouldCatchUpFromEntriesWhenSideStartsInOutage() {
        FakeProcesses all = build();
        all.store.down(true);
        FakeProcesses.Side fresh = all.addSide("prairie", "regina");
        all.publish();
        all.network.run(IN_FORCE_MILLIS);
        assertEquals(fresh.replica.state().sequence(), 1);
    }

    @Test
    public void shouldCatchUpWithinSecondsWhenGapIsLong() {
        FakeProcesses all = build();
        for (int number = 2; number <= 1_000; number++) {
            submit(all.entries.get(0), all, number);
        }
        all.network.run(SETTLE_MILLIS);
        FakeProcesses.Side fresh = all.addSide("prairie", "regina");
        all.publish();
        all.network.run(IN_FORCE_MILLIS);
        assertEquals(fresh.replica.state().sequence(), 1_000);
    }

    @Test
    public void shouldCatchUpFromSidesWhenEntryStartsFarBehindInOutage() {
        FakeProcesses all = build();
        for (int number = 2; number <= 1_000; number++) {
            submit(all.entries.get(0), all, number);
        }
        all.network.run(SETTLE_MILLIS);
        all.store.down(true);
        all.entries.forEach(entry -> entry.process.kill());
        FakeProcesses.Entry fresh = all.addEntry("prairie", "regina");
        all.publish();
        all.network.run(IN_FORCE_MILLIS);
        assertEquals(fresh.replica.state(), all.sides.get(0).replica.state());
        assertEquals(fresh.replica.state().sequence(), 1_000);
    }

    @DataProvider
    public Object[][] relayFaults() {
        return new Object[][] {{"one relay freezes", 1, false}, {"both relays freeze", 2, false}, {"both die", 2, true}
        };
    }

    @Test(dataProvider = "relayFaults")
    public void shouldStayInForceWithinSecondsWhenRelaysFail(String name, int count, boolean die) {
        FakeProcesses all = build();
        assertEquals(all.relays(), 4, name);
        List<FakeProcesses.Entry> failing = all.entries.stream()
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
                all.entries.stream().filter(entry -> !failing.contains(entry)).toList();
        FakeProcesses.Entry elsewhere = healthy.stream()
                .filter(entry -> entry.host.zone().equals("saskatoon"))
                .findFirst()
                .orElseThrow();
        submit(elsewhere, all, 2);
        all.network.run(IN_FORCE_MILLIS);
        assertTrue(healthy.stream().allMatch(entry -> entry.replica.state().sequence() == 2), name);
        assertEquals(all.sidesIn(2), 6, name);
        long relays = healthy.stream().filter(entry -> entry.peers.isRelay()).count();
        assertEquals(relays, 4, name);
        failing.forEach(entry -> entry.process.thaw());
        all.network.run(IN_FORCE_MILLIS);
        assertEquals(all.entriesIn(2), die ? 6 : 8, name);
    }

    @Test
    public void shouldKeepRelaysFewWhenZoneIsLarge() {
        FakeProcesses all = new FakeProcesses(500);
        for (int count = 0; count < 40; count++) {
            all.addEntry("prairie", "regina");
        }
        all.publish();
        all.network.run(SETTLE_MILLIS);
        assertEquals(all.relays(), 2);
        long before = all.store.readCount();
        all.network.run(10_000);
        long reads = all.store.readCount() - before;
        assertTrue(reads <= 2 * 11, "reads in 10 s: " + reads);
    }

    @Test
    public void shouldTellFollowersOfHostsWhenRelayReadsList() {
        FakeProcesses all = build();
        HostList list = new HostList(List.of(all.entries.get(0).host));
        Map<String, HostList> told = new HashMap<>();
        all.entries.forEach(entry -> entry.peers.setHostsListener(hosts -> told.put(entry.host.name(), hosts)));
        all.entries.forEach(entry -> entry.peers.publish(list));
        all.network.run(500);
        long followers = all.entries.stream()
                .filter(entry -> !entry.peers.isRelay())
                .filter(entry -> list.equals(told.get(entry.host.name())))
                .count();
        assertEquals(followers, 4);
        assertEquals(told.size(), 4, "relays read for themselves");
        FakeProcesses.Entry late = all.addEntry("prairie", "regina");
        late.peers.setHostsListener(hosts -> told.put(late.host.name(), hosts));
        all.publish();
        all.network.run(SETTLE_MILLIS);
        assertTrue(late.peers.isRelay() || list.equals(told.get(late.host.name())));
    }

    @Test
    public void shouldFollowByReadingWhenWatchIsSilent() {
        FakeProcesses all = build();
        all.store.silenceWatches(true);
        FakeProcesses.Entry acceptor = all.entries.get(0);
        acceptor.process.freeze();
        submit(acceptor, all, 2);
        all.network.run(IN_FORCE_MILLIS);
        assertEquals(all.sidesIn(2), 6);
    }

    @DataProvider
    public Object[][] wrongPushes() {
        return new Object[][] {
            {"another chain digest", 0L, Digest.of("other"), AppendOutcome.DIVERGED},
            {"entries that follow a gap", 2L, Digest.of("other"), AppendOutcome.GAP},
        };
    }

    @Test(dataProvider = "wrongPushes")
    public void shouldKeepOutWhenPushIsWrong(String name, long after, Digest chain, AppendOutcome expected) {
        LogReplica replica = new LogReplica();
        assertEquals(replica.append(after, List.of(entry(1)), chain), expected, name);
        assertEquals(replica.state().sequence(), 0, name);
    }
}
