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
 * Chains events by digest, writes each as one line to a stream, and anchors the chain in the key-value service at a
 * fixed low rate.
 *
 * <p>Two duties: one writes, one waits for the key-value service, so that an outage delays anchors only. Events that
 * find the ring full are counted, and a record says how many were lost. Register it before the services that use it, so
 * that it stops after them and anchors the end of the chain.
 *
 * @see AuditVerifier
 */
public final class ChainedAuditTrail implements Service, AuditTrail {

    /** The name under which the service is registered. */
    public static final String NAME = "audit";

    private static final Logger logger = LoggerFactory.getLogger(ChainedAuditTrail.class);

    private static final int RING_SIZE = 8_192;

    private static final int ANCHOR_RING_SIZE = 2;

    private static final long CALL_MILLIS = 2_000;

    private final String process;

    private final String incarnation;

    private final PrintStream stream;

    private final KeyValueStore store;

    private final Clock clock;

    private final long anchorPeriodMillis;

    private final long retentionSeconds;

    private final AtomicLong lost = new AtomicLong();

    private final EventLoop<AuditEvent> writer = new EventLoop<>("audit-writer", RING_SIZE, this::write);

    private final EventLoop<Boolean> anchorer = new EventLoop<>("audit-anchor", ANCHOR_RING_SIZE, this::anchor);

    private final Ticker ticker = new Ticker("audit-ticker");

    private volatile ChainHead head = new ChainHead(0, Digest.ZERO);

    private long anchoredIndex;

    private long leaseId;

    /**
     * Creates a trail.
     *
     * @param process the host's name
     * @param incarnation the name of this run of the process
     * @param stream takes the records, one a line
     * @param store keeps the anchors
     * @param clock the clock of the process
     * @param anchorPeriodMillis the milliseconds between two anchors
     * @param retentionSeconds the seconds that an anchor is kept
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
        anchorer.start();
        ticker.every(anchorPeriodMillis, () -> anchorer.offer(false));
    }

    @Override
    public void record(AuditEvent event) {
        Assert.notNull(event, "event");
        if (!writer.offer(event)) {
            lost.incrementAndGet();
        }
    }

    private void write(AuditEvent event) {
        long missed = lost.getAndSet(0);
        if (missed > 0) {
            logger.error("event=audit-records-lost count={}", missed);
            append(new AuditEvent.RecordsLost(missed));
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
        ChainHead present = head;
        if (present.index == anchoredIndex && !closing) {
            return;
        }
        long deadlineNanos = clock.deadlineNanos(CALL_MILLIS);
        if (!holdsLease(deadlineNanos)) {
            return;
        }
        String key = AuditAnchor.key(process, incarnation);
        if (!(store.get(key, deadlineNanos) instanceof StoreResult.Done<KeyValue> done)) {
            return;
        }
        AuditAnchor anchor =
                new AuditAnchor(process, incarnation, present.index, present.chain.hex(), clock.wallMillis(), closing);
        StoreResult<Long> written =
                store.compareAndSwap(key, done.value().revision(), JsonCodec.write(anchor), leaseId, deadlineNanos);
        if (written.isDone()) {
            anchoredIndex = present.index;
            return;
        }
        logger.warn("event=audit-anchor-failed index={} result={}", present.index, written);
    }

    private boolean holdsLease(long deadlineNanos) {
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
     * Tells how many records were written.
     *
     * @return the number of the last record, zero before the first
     */
    public long lastIndex() {
        return head.index;
    }

    @Override
    public void stop() {
        ticker.stop();
        writer.stop();
        stream.flush();
        anchorer.offer(true);
        anchorer.stop();
    }

    /** Holds how far the chain reaches. */
    private record ChainHead(long index, Digest chain) {}
}
