package org.arbutusstack.entry.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.model.host.HostStatus;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.placement.CopyPlanner;
import org.arbutusstack.placement.PlacementPolicy;
import org.arbutusstack.placement.PlacementWeights;
import org.arbutusstack.placement.RunnerCapacity;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.StoreResult;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for the election of planners: leases, fences, pauses, outages and the number of store calls. */
public class PlannerServiceTests {

    private ManualClock clock;

    private FakeKeyValueStore store;

    private LogReplica replica;

    private List<RunnerCapacity> runners;

    @BeforeMethod
    public void prepare() {
        clock = new ManualClock(1_000_000_000L);
        store = new FakeKeyValueStore(clock);
        replica = new LogReplica();
        put(1, "v1");
        runners = List.of(runner("lm-1", Set.of()), runner("lm-2", Set.of()));
    }

    private void put(long number, String version) {
        Ticket ticket = new Ticket(
                number,
                List.of(new ServiceSpec("lm", ServiceKind.ENGINE, true)),
                List.of(new ModelSpec("m", "lm", version, 100, 1)),
                List.of(),
                List.of());
        TicketEntry entry = new TicketEntry(ticket, "operator", 1, "entry");
        Digest chain = replica.state().chain().chain(entry.digest());
        replica.append(replica.state().sequence(), List.of(entry), chain);
    }

    private static RunnerCapacity runner(String name, Set<String> ready) {
        return new RunnerCapacity(name, "regina", 1_000, 100L * ready.size(), ready, Set.of(), Map.of());
    }

    private PlanningEntry holder(String name) {
        return holder(name, new PlannerCandidates());
    }

    private PlanningEntry holder(String name, PlannerCandidates candidates) {
        PlanRegistry plans = new PlanRegistry();
        PlannerService service = new PlannerService(
                new EntryIdentity(name, "regina", name + "-run"),
                store,
                replica,
                plans,
                new Directory(),
                candidates,
                new CopyPlanner(PlacementPolicy.BALANCED, new PlacementWeights(8, 3, 1, 4, 10)),
                new PlannerTiming(0, 10_000, 2_000, 120_000),
                clock,
                new PrometheusRegistry());
        return new PlanningEntry(service, plans);
    }

    private Plan stored() {
        StoreResult<KeyValue> read = store.get(PlanKeys.plan("lm"), clock.deadlineNanos(1));
        return JsonCodec.read(((StoreResult.Done<KeyValue>) read).value().value(), Plan.class);
    }

    private void pass(int steps, PlanningEntry... holders) {
        for (int step = 0; step < steps; step++) {
            clock.advanceMillis(300);
            for (PlanningEntry holder : holders) {
                holder.service.run();
            }
        }
    }

    @Test
    public void shouldPublishNoPlanOfPausedHolderWhenLeaseExpired() {
        PlanningEntry paused = holder("a");
        PlanningEntry next = holder("b");
        pass(2, paused);
        Plan first = paused.plans.plan("lm");
        pass(15, next);
        Plan taken = next.plans.plan("lm");
        assertTrue(taken.fence() > first.fence());
        put(2, "v2");
        paused.service.run();
        assertEquals(paused.plans.plan("lm"), first);
        assertEquals(stored(), taken);
    }

    @DataProvider
    public Object[][] pauses() {
        return new Object[][] {{"before anyone took over", 0}, {"after another took over", 15}};
    }

    @Test(dataProvider = "pauses")
    public void shouldPublishNoPlanWhenHolderIsPausedDuringSwap(String name, int steps) {
        PlanningEntry paused = holder("a");
        PlanningEntry next = holder("b");
        pass(2, paused);
        Plan first = paused.plans.plan("lm");
        put(2, "v2");
        store.beforePlanSwap = () -> {
            clock.advanceMillis(5_000);
            pass(steps, next);
        };
        paused.service.run();
        assertEquals(paused.plans.plan("lm"), first);
        pass(15, next, paused);
        Plan last = next.plans.plan("lm");
        assertTrue(last.fence() > first.fence());
        assertEquals(stored(), last);
        assertFalse(last.modelsByRunner().isEmpty());
    }

    @Test
    public void shouldDropReleasesOfFormerHolderWhenTakingOver() {
        runners = List.of(runner("lm-1", Set.of("m@v1")), runner("lm-2", Set.of()));
        PlanningEntry first = holder("a");
        pass(2, first);
        put(2, "v2");
        pass(2, first);
        runners = List.of(runner("lm-1", Set.of("m@v1")), runner("lm-2", Set.of("m@v2")));
        pass(1, first);
        assertEquals(stored().releasedOf("lm-1"), List.of("m@v1"));
        runners = List.of();
        PlanningEntry next = holder("b");
        clock.advanceMillis(5_000);
        pass(3, next);
        assertTrue(next.plans.plan("lm").fence() > 0);
        assertEquals(stored().releasedOf("lm-1"), List.of());
    }

    @Test
    public void shouldContinuePlanningWhenStoreResponsesAreLost() {
        PlanningEntry only = holder("a");
        store.responsesToLose = 2;
        pass(30, only);
        put(2, "v2");
        store.responsesToLose = 1;
        pass(30, only);
        assertEquals(stored(), only.plans.plan("lm"));
        assertEquals(stored().stateSequence(), 2);
    }

    @Test
    public void shouldKeepLastPlanWhenStoreIsDown() {
        PlanningEntry only = holder("a");
        pass(3, only);
        Plan last = only.plans.plan("lm");
        store.down = true;
        put(2, "v2");
        pass(40, only);
        assertEquals(only.plans.plan("lm"), last);
        store.down = false;
        pass(10, only);
        assertTrue(only.plans.plan("lm").fence() > last.fence());
        assertEquals(only.plans.plan("lm").stateSequence(), 2);
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{3}, {30}, {360}};
    }

    @Test(dataProvider = "fleets")
    public void shouldBoundStoreCallsWhenEntriesAreMany(int entries) {
        PlannerCandidates candidates = new PlannerCandidates();
        candidates.hostsChanged(new HostList(IntStream.range(0, entries)
                .mapToObj(index ->
                        new Host("e" + index, HostRole.ENTRY, "", "prairie", "regina", "127.0.0.1", 1, HostStatus.LIVE))
                .toList()));
        List<PlanningEntry> holders = new ArrayList<>();
        for (int index = 0; index < entries; index++) {
            holders.add(holder("e" + index, candidates));
        }
        pass(20, holders.toArray(PlanningEntry[]::new));
        store.calls = 0;
        pass(200, holders.toArray(PlanningEntry[]::new));
        System.out.println("entries=" + entries + " calls of planners in 60 s=" + store.calls);
        assertTrue(store.calls <= 4 * 60, "calls " + store.calls);
    }

    /** Directory of the runners of the current test. */
    private final class Directory implements RunnerDirectory {

        @Override
        public List<RunnerCapacity> runners(String service) {
            return runners;
        }

        @Override
        public int listedRunners(String service) {
            return runners.size();
        }
    }

    /** The planner of one entry, with the plans that it publishes. */
    private record PlanningEntry(PlannerService service, PlanRegistry plans) {}
}
