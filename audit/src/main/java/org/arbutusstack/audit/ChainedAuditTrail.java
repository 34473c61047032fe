package org.arbutusstack.audit;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@link AuditTrail} that writes each event as one line to a stream, linked to the previous record by a hash chain, and
 * periodically writes an anchor of the chain to the key-value service.
 *
 * <p>One event loop writes the records and another writes the anchors, so that an outage of the key-value service
 * delays anchors only. Events that arrive while the queue is full are dropped, and a {@link AuditEvent.RecordsLost}
 * record holds their number. Register this service before those that use it, so that it stops after them and anchors
 * the end of the chain.
 *
 * @see AuditVerifier
 */
public final class ChainedAuditTrail implements Service, AuditTrail {

    /** Name under which the service is registered. */
    public static final String NAME = "audit";

    private static final Logger logger = LoggerFactory.getLogger(ChainedAuditTrail.class);

    private static final int RING_SIZE = 8_192;

    private static final int ANCHOR_RING_SIZE = 2;

    private static final long STORE_TIMEOUT_MILLIS = 2_000;

    private final String process;

    private final String incarnation;

    private final PrintStream stream;

    private final KeyValueStore store;

    private final Clock clock;

    private final long anchorPeriodMillis;

    private final long retentionSeconds;

    private final AtomicLong lost = new AtomicLong();

    private final EventLoop<AuditEvent> writer = new EventLoop<>("audit-writer", RING_SIZE, this::write);

    private final EventLoop<Boolean> anchorWriter = new EventLoop<>("audit-anchor", ANCHOR_RING_SIZE, this::anchor);

    private final Ticker ticker = new Ticker("audit-ticker");

    private volatile ChainHead head = new ChainHead(0, Digest.ZERO);

    private long anchoredIndex;

    private long leaseId;

    /**
     * Create an audit trail; call {@link #start()} to begin writing.
     *
     * @param process the name of the host
     * @param incarnation the name of this run of the process
     * @param stream the stream to write the records to, one per line
     * @param store the key-value service that stores the anchors
     * @param clock the clock for record times and deadlines
     * @param anchorPeriodMillis the interval between two anchors, in milliseconds, at least one
     * @param retentionSeconds the time to live of the anchors' lease, in seconds, at least one
     */
    public ChainedAuditTrail(
            String process,
            String incarnation,
            PrintStream stream,
            KeyValueStore store,
            Clock clock,
            long anchorPeriodMillis,
            long retentionSeconds) {
        this.process = Assert.hasText(process, "process");
        this.incarnation = Assert.hasText(incarnation, "incarnation");
        this.stream = Assert.notNull(stream, "stream");
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
        this.anchorPeriodMillis = Assert.atLeast(anchorPeriodMillis, 1, "anchorPeriodMillis");
        this.retentionSeconds = Assert.atLeast(retentionSeconds, 1, "retentionSeconds");
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        writer.start();
        anchorWriter.start();
        ticker.every(anchorPeriodMillis, () -> anchorWriter.offer(false));
    }

    @Override
    public void record(AuditEvent event) {
        Assert.notNull(event, "event");
        if (!writer.offer(event)) {
            lost.incrementAndGet();
        }
    }

    private void write(AuditEvent event) {
        long lostCount = lost.getAndSet(0);
        if (lostCount > 0) {
            logger.error("event=audit-records-lost count={}", lostCount);
            append(new AuditEvent.RecordsLost(lostCount));
        }
        append(event);
    }

    private void append(AuditEvent event) {
        ChainHead before = head;
        AuditRecord record =
                AuditRecord.following(process, incarnation, before.index + 1, clock.wallMillis(), event, before.chain);
        stream.println(new String(JsonCodec.write(record), StandardCharsets.UTF_8));
        head = new ChainHead(record.index(), new Digest(record.chain()));
    }

    private void anchor(boolean closing) {
        ChainHead current = head;
        if (current.index == anchoredIndex && !closing) {
            return;
        }
        long deadlineNanos = clock.deadlineNanos(STORE_TIMEOUT_MILLIS);
        if (!ensureLease(deadlineNanos)) {
            return;
        }
        String key = AuditAnchor.key(process, incarnation);
        if (!(store.get(key, deadlineNanos) instanceof StoreResult.Done<KeyValue> done)) {
            return;
        }
        AuditAnchor anchor =
                new AuditAnchor(process, incarnation, current.index, current.chain.hex(), clock.wallMillis(), closing);
        StoreResult<Long> written =
                store.compareAndSwap(key, done.value().revision(), JsonCodec.write(anchor), leaseId, deadlineNanos);
        if (written.isDone()) {
            anchoredIndex = current.index;
            return;
        }
        logger.warn("event=audit-anchor-failed index={} result={}", current.index, written);
    }

    /** Renew the lease of the anchor, or acquire a new one if there is none or it has expired. */
    private boolean ensureLease(long deadlineNanos) {
        if (leaseId != 0) {
            StoreResult<Boolean> renewed = store.renewLease(leaseId, deadlineNanos);
            if (!(renewed instanceof StoreResult.Done<Boolean> done)) {
                return false;
            }
            if (done.value()) {
                return true;
            }
        }
        if (store.grantLease(retentionSeconds, deadlineNanos) instanceof StoreResult.Done<Long> done) {
            leaseId = done.value();
            return true;
        }
        return false;
    }

    /**
     * Return the index of the last record written, which equals the number of records written.
     *
     * @return the index; zero before the first record
     */
    public long lastIndex() {
        return head.index;
    }

    @Override
    public void stop() {
        ticker.stop();
        writer.stop();
        stream.flush();
        anchorWriter.offer(true);
        anchorWriter.stop();
    }

    /** Index and chain digest of the last record written. */
    private record ChainHead(long index, Digest chain) {}
}
