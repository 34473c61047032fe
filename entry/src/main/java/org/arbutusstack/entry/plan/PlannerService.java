package org.arbutusstack.entry.plan;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Duty;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.placement.Planner;
import org.arbutusstack.placement.RunnerCapacity;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans the services whose lease this process holds, and reads the plans of the others.
 *
 * <p>A plan is written by a swap of its key's revision; its fence is the revision of the holder's key, which grows with
 * each holder, so a holder that was paused past its lease writes nothing. Runs on a duty of its own.
 */
public final class PlannerService implements Service {

    private static final Logger logger = LoggerFactory.getLogger(PlannerService.class);

    private static final int RING_SIZE = 4;

    private static final long PERIOD_MILLIS = 300;

    private static final long CALL_MILLIS = 1_000;

    private static final long LEASE_SECONDS = 3;

    private final EntryIdentity identity;

    private final KeyValueStore store;

    private final LogReplica replica;

    private final PlanBook book;

    private final RunnerDirectory directory;

    private final Planner planner;

    private final Clock clock;

    private final Duty<Runnable> duty = new Duty<>("planner", RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("planner-ticker");

    private final Map<String, Long> fenceByService = new HashMap<>();

    private long leaseId;

    /**
     * Creates the service.
     *
     * @param identity who the entry is
     * @param store the key-value service
     * @param replica this process's copy of the ticket log
     * @param book takes the plans written and read
     * @param directory tells the runners
     * @param planner decides
     * @param clock the clock of the process
     */
    public PlannerService(
            EntryIdentity identity,
            KeyValueStore store,
            LogReplica replica,
            PlanBook book,
            RunnerDirectory directory,
            Planner planner,
            Clock clock) {
        this.identity = Assert.notNull(identity, "identity");
        this.store = Assert.notNull(store, "store");
        this.replica = Assert.notNull(replica, "replica");
        this.book = Assert.notNull(book, "book");
        this.directory = Assert.notNull(directory, "directory");
        this.planner = Assert.notNull(planner, "planner");
        this.clock = Assert.notNull(clock, "clock");
    }

    @Override
    public String name() {
        return "planner";
    }

    @Override
    public void start() {
        duty.start();
        ticker.every(PERIOD_MILLIS, () -> duty.offer(this::run));
    }

    private void run() {
        renewLease();
        DesiredState state = replica.state();
        state.services().values().stream()
                .filter(service -> service.kind() == ServiceKind.ENGINE)
                .forEach(service -> plan(service.name(), state));
    }

    private void renewLease() {
        if (leaseId != 0 && store.renewLease(leaseId, deadlineNanos()) instanceof StoreResult.Done<Boolean> done) {
            if (done.value()) {
                return;
            }
            leaseId = 0;
            fenceByService.clear();
        }
        if (leaseId == 0 && store.grantLease(LEASE_SECONDS, deadlineNanos()) instanceof StoreResult.Done<Long> done) {
            leaseId = done.value();
        }
    }

    private long deadlineNanos() {
        return clock.deadlineNanos(CALL_MILLIS);
    }

    private void plan(String service, DesiredState state) {
        if (!(store.get(PlanKeys.plan(service), deadlineNanos()) instanceof StoreResult.Done<KeyValue> done)) {
            return;
        }
        KeyValue value = done.value();
        Plan current = value.exists() ? JsonCodec.read(value.value(), Plan.class) : Plan.none(service);
        book.offer(current);
        long fence = fenceOf(service);
        if (fence == 0 || fence < current.fence()) {
            return;
        }
        List<RunnerCapacity> runners = directory.runners(service);
        if (runners.isEmpty()) {
            return;
        }
        Map<String, List<String>> assigned = planner.assign(state.modelsOf(service), runners, current);
        boolean same = assigned.equals(current.modelsByRunner()) && current.stateSequence() == state.sequence();
        if (same && current.fence() == fence) {
            return;
        }
        write(new Plan(service, fence, current.sequence() + 1, state.sequence(), assigned), value.revision());
    }

    private void write(Plan plan, long revision) {
        byte[] json = JsonCodec.write(plan);
        StoreResult<Long> written = store.compareAndSwap(
                PlanKeys.plan(plan.service()), revision, json, KeyValueStore.NO_LEASE, deadlineNanos());
        if (written.isDone()) {
            logger.info(
                    "event=plan-written service={} fence={} sequence={}",
                    plan.service(),
                    plan.fence(),
                    plan.sequence());
            book.offer(plan);
        }
    }

    private long fenceOf(String service) {
        if (leaseId == 0) {
            return 0;
        }
        Long held = fenceByService.get(service);
        if (held != null) {
            return held;
        }
        byte[] holder = identity.incarnation().getBytes(StandardCharsets.UTF_8);
        StoreResult<Long> taken = store.compareAndSwap(PlanKeys.holder(service), 0, holder, leaseId, deadlineNanos());
        if (taken instanceof StoreResult.Done<Long> done) {
            logger.info("event=planner-lease service={} fence={}", service, done.value());
            fenceByService.put(service, done.value());
            return done.value();
        }
        return 0;
    }

    @Override
    public void stop() {
        ticker.stop();
        duty.stop();
        if (leaseId != 0) {
            store.revokeLease(leaseId, deadlineNanos());
        }
    }
}
