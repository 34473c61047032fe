package org.arbutusstack.gateway.plan;

import java.nio.charset.StandardCharsets;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreLease;
import org.arbutusstack.store.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes the planner's key in the key-value service if no entry holds it, and keeps it by a lease.
 *
 * <p>The revision at which the key was taken is the holder's fencing number. Runs on a duty of its own; the results may
 * be read by any thread.
 */
public final class PlannerElection implements Service {

    /** The key that names the planner. */
    public static final String KEY = "arbutus/planner";

    private static final Logger logger = LoggerFactory.getLogger(PlannerElection.class);

    private static final long PERIOD_MILLIS = 300;

    private static final long CALL_MILLIS = 600;

    /** A difference between the two clocks after which the process must have stood still. */
    private static final long STOOD_STILL_MILLIS = 400;

    private final KeyValueStore store;

    private final String identity;

    private final Clock clock;

    private final StoreLease lease;

    private final Thread thread;

    private volatile boolean running;

    private volatile String holder = "";

    private volatile long fence;

    private volatile boolean holding;

    private volatile long clockDifferenceMillis;

    /** The record of demand to be kept; null if none waits. */
    private volatile byte[] record;

    private volatile long recordRevision;

    /**
     * Creates the service.
     *
     * @param store the key-value service
     * @param identity names this run of the entry and where it accepts links
     * @param clock the clock of the process
     */
    public PlannerElection(KeyValueStore store, String identity, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.identity = Assert.hasText(identity, "identity");
        this.clock = Assert.notNull(clock, "clock");
        this.lease = new StoreLease(store, clock, CALL_MILLIS);
        this.clockDifferenceMillis = clockDifference();
        this.thread = new Thread(this::run, "planner-election");
        this.thread.setDaemon(true);
    }

    private long clockDifference() {
        return clock.wallMillis() - clock.nowNanos() / Clock.NANOS_PER_MILLI;
    }

    @Override
    public String name() {
        return "planner-election";
    }

    @Override
    public void start() {
        running = true;
        thread.start();
    }

    @Override
    public void stop() {
        running = false;
        holding = false;
        lease.revoke();
    }

    /**
     * Learns what the key holds.
     *
     * @param identityOfHolder what the planner wrote to it; empty if nobody holds it
     */
    public void onHolderRead(String identityOfHolder) {
        holder = identityOfHolder;
    }

    /**
     * Learns the revision at which the record of demand is kept.
     *
     * @param revision the revision; zero if there is none
     */
    public void onRecordRead(long revision) {
        recordRevision = revision;
    }

    /**
     * Has a record of demand kept, if this entry still plans when its turn comes.
     *
     * @param next the record
     */
    public void persist(byte[] next) {
        record = next;
    }

    /** Tells whether an earlier run at this entry's address holds the key; it must have ended. */
    private boolean isPredecessor(String other) {
        int space = identity.indexOf(' ');
        return space > 0 && !other.equals(identity) && other.startsWith(identity.substring(0, space + 1));
    }

    /**
     * Tells whether this entry plans.
     *
     * @return whether its lease lives for certain: not if the process has stood still since the lease was last looked
     *     at, for the steady clock does not count that time
     */
    public boolean holdsLease() {
        return holding && !hasStoodStill();
    }

    private boolean hasStoodStill() {
        return Math.abs(clockDifference() - clockDifferenceMillis) > STOOD_STILL_MILLIS;
    }

    /**
     * Tells the holder's fencing number.
     *
     * @return the number under which this entry planned last
     */
    public long fence() {
        return fence;
    }

    private void run() {
        while (running) {
            try {
                step();
            } catch (RuntimeException failure) {
                logger.error("event=duty-failure duty=planner-election", failure);
            }
            clock.pause(PERIOD_MILLIS);
        }
    }

    /** Renews the lease, or takes the key if it is free. */
    void step() {
        if (holding && hasStoodStill()) {
            logger.warn("event=planner-yielded fence={} cause=clocks-differ", fence);
            holding = false;
            lease.abandon();
            clockDifferenceMillis = clockDifference();
            return;
        }
        clockDifferenceMillis = clockDifference();
        if (holding && !lease.renew()) {
            logger.warn("event=planner-yielded fence={} cause=lease-lapsed", fence);
            holding = false;
        }
        if (holding) {
            keepRecord();
            return;
        }
        boolean free = holder.isEmpty();
        if ((free || isPredecessor(holder)) && lease.obtain()) {
            if (!free || swap(0) instanceof StoreResult.Conflict) {
                settle();
            }
        }
    }

    /** Writes the record; a failed write is left to the next record, since the one kept is of use as well. */
    private void keepRecord() {
        byte[] next = record;
        if (next == null) {
            return;
        }
        record = null;
        StoreResult<Long> written = store.compareAndSwap(
                DemandRecord.KEY, recordRevision, next, KeyValueStore.NO_LEASE, clock.deadlineNanos(CALL_MILLIS));
        if (written instanceof StoreResult.Done<Long> done) {
            recordRevision = done.value();
        } else {
            logger.info("event=demand-not-kept result={}", written);
        }
    }

    private StoreResult<Long> swap(long expectedRevision) {
        byte[] value = identity.getBytes(StandardCharsets.UTF_8);
        StoreResult<Long> written =
                store.compareAndSwap(KEY, expectedRevision, value, lease.id(), clock.deadlineNanos(CALL_MILLIS));
        if (written instanceof StoreResult.Done<Long> done) {
            taken(done.value());
        }
        return written;
    }

    /**
     * Finds out who holds the key: this process by an earlier write whose answer was lost, or an earlier run of this
     * entry, whose lease need not be waited for.
     */
    private void settle() {
        StoreResult<KeyValue> read = store.get(KEY, clock.deadlineNanos(CALL_MILLIS));
        if (read instanceof StoreResult.Done<KeyValue> done) {
            holder = done.value().text();
            if (holder.equals(identity)) {
                taken(done.value().revision());
            } else if (isPredecessor(holder)) {
                swap(done.value().revision());
            }
        }
    }

    private void taken(long revision) {
        if (!lease.isValid()) {
            return;
        }
        fence = revision;
        holder = identity;
        holding = true;
        logger.info("event=planner-lease fence={}", revision);
    }
}
