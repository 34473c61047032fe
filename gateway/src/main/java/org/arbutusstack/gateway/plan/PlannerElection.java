package org.arbutusstack.gateway.plan;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreLease;
import org.arbutusstack.store.StorePosition;
import org.arbutusstack.store.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election of the planner: acquires the planner's key in the key-value service if no entry holds it, and retains
 * it by a lease.
 *
 * <p>The revision at which the key was written is the holder's fencing token. Runs on a thread of its own; the results
 * may be read by any thread.
 */
public final class PlannerElection implements Service {

    /** Key in the key-value service whose value identifies the planner. */
    public static final String KEY = "arbutus/planner";

    private static final Logger logger = LoggerFactory.getLogger(PlannerElection.class);

    private static final long PERIOD_MILLIS = 300;

    private static final long CALL_TIMEOUT_MILLIS = 600;

    /** Divergence of wall clock and monotonic clock above which the process must have been suspended. */
    private static final long MAX_CLOCK_DIVERGENCE_MILLIS = 400;

    private final KeyValueStore store;

    private final String identity;

    private final Clock clock;

    private final StoreLease lease;

    private final Thread thread;

    private volatile boolean running;

    private volatile String holder = "";

    private volatile long fence;

    /** The era of the store in which this entry became the holder. */
    private volatile long era;

    private volatile boolean holding;

    private volatile long clockDivergenceMillis;

    /** The records to be persisted, by key. */
    private final Map<String, byte[]> pendingRecords = new ConcurrentHashMap<>();

    private final Map<String, Long> recordRevisions = new ConcurrentHashMap<>();

    /**
     * Create the election; it starts with {@link #start()}.
     *
     * @param store the key-value service
     * @param identity the address at which the entry accepts links, a space, and the identifier of this run of the
     *     entry
     * @param clock the clock of the process
     */
    public PlannerElection(KeyValueStore store, String identity, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.identity = Assert.hasText(identity, "identity");
        this.clock = Assert.notNull(clock, "clock");
        this.lease = new StoreLease(store, clock, CALL_TIMEOUT_MILLIS);
        this.clockDivergenceMillis = clockDivergence();
        this.thread = new Thread(this::run, "planner-election");
        this.thread.setDaemon(true);
    }

    private long clockDivergence() {
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
     * Receive the value of the planner's key, as read last.
     *
     * @param identityOfHolder the identity of the holder; empty if no entry holds the key
     */
    public void onHolderRead(String identityOfHolder) {
        holder = identityOfHolder;
    }

    /**
     * Receive the revision of a persisted record, as read last.
     *
     * @param key the key of the record
     * @param revision the revision; zero if there is no record
     */
    public void onRecordRead(String key, long revision) {
        recordRevisions.put(key, revision);
    }

    /**
     * Request that a record be persisted; it is written by the next step in which this entry holds the lease.
     *
     * @param key the key of the record
     * @param next the encoded record
     */
    public void persist(String key, byte[] next) {
        pendingRecords.put(key, next);
    }

    /** Return whether an identity is that of an earlier run at this entry's address, which must have ended. */
    private boolean isPredecessor(String other) {
        int separator = identity.indexOf(' ');
        return separator > 0 && !other.equals(identity) && other.startsWith(identity.substring(0, separator + 1));
    }

    /**
     * Return whether this entry holds the planner's lease.
     *
     * @return whether the lease is certainly valid; false if the process was suspended since the lease was last
     *     checked, since the monotonic clock does not count that time, or if the store came back from an older copy
     */
    public boolean holdsLease() {
        return holding && !wasSuspended() && era == store.era();
    }

    private boolean wasSuspended() {
        return Math.abs(clockDivergence() - clockDivergenceMillis) > MAX_CLOCK_DIVERGENCE_MILLIS;
    }

    /**
     * Return the fencing token of this entry's last term as planner.
     *
     * @return the fencing token; zero if this entry has never held the key
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

    /** Renew the lease, or acquire the key if it is free. */
    void step() {
        if (holding && wasSuspended()) {
            logger.warn("event=planner-yielded fence={} cause=clocks-differ", fence);
            holding = false;
            lease.abandon();
            clockDivergenceMillis = clockDivergence();
            return;
        }
        clockDivergenceMillis = clockDivergence();
        if (holding && era != store.era()) {
            logger.warn("event=planner-yielded fence={} cause=store-restored", fence);
            holding = false;
        }
        if (holding && !lease.renew()) {
            logger.warn("event=planner-yielded fence={} cause=lease-lapsed", fence);
            holding = false;
        }
        if (holding) {
            IsolatedSteps.forEach("planner-election", pendingRecords.keySet(), this::persistRecord);
            return;
        }
        boolean free = holder.isEmpty();
        if ((free || isPredecessor(holder)) && lease.obtain()) {
            if (!free || writeKey(0) instanceof StoreResult.Conflict) {
                resolveHolder();
            }
        }
    }

    /** Write a pending record. A failed write is not retried; whoever needs the record to be current requests again. */
    private void persistRecord(String key) {
        byte[] next = pendingRecords.remove(key);
        StoreResult<Long> written = store.compareAndSwap(
                key,
                recordRevisions.getOrDefault(key, 0L),
                next,
                KeyValueStore.NO_LEASE,
                clock.deadlineNanos(CALL_TIMEOUT_MILLIS));
        if (written instanceof StoreResult.Done<Long> done) {
            recordRevisions.put(key, done.value());
            return;
        }
        logger.info("event=record-not-persisted key={} result={}", key, written);
        if (written instanceof StoreResult.Conflict) {
            readRecordRevision(key);
        }
    }

    /** Read the revision of a record: one that the store has lost is not reported as a change. */
    private void readRecordRevision(String key) {
        StoreResult<KeyValue> read = store.get(key, clock.deadlineNanos(CALL_TIMEOUT_MILLIS));
        if (read instanceof StoreResult.Done<KeyValue> done) {
            recordRevisions.put(key, done.value().revision());
        }
    }

    private StoreResult<Long> writeKey(long expectedRevision) {
        byte[] value = identity.getBytes(StandardCharsets.UTF_8);
        StoreResult<Long> written = store.compareAndSwap(
                KEY, expectedRevision, value, lease.id(), clock.deadlineNanos(CALL_TIMEOUT_MILLIS));
        if (written instanceof StoreResult.Done<Long> done) {
            becomeHolder(done.value());
        }
        return written;
    }

    /**
     * Read the holder of the key. It may be this process, by an earlier write whose response was lost, or an earlier
     * run of this entry. Such a key is replaced without waiting for the lease with which it was written to expire.
     */
    private void resolveHolder() {
        StoreResult<KeyValue> read = store.get(KEY, clock.deadlineNanos(CALL_TIMEOUT_MILLIS));
        if (read instanceof StoreResult.Done<KeyValue> done) {
            holder = done.value().text();
            if (holder.equals(identity) || isPredecessor(holder)) {
                writeKey(done.value().revision());
            }
        }
    }

    private void becomeHolder(long revision) {
        if (!lease.isValid()) {
            return;
        }
        era = lease.era();
        fence = new StorePosition(era, revision).fencingToken();
        holder = identity;
        holding = true;
        logger.info("event=planner-lease fence={} era={} revision={}", fence, era, revision);
    }
}
