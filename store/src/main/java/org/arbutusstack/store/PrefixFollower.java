package org.arbutusstack.store;

import java.util.concurrent.locks.LockSupport;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ClockReading;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a listener up to date on the keys with a prefix, across outages, lost history and unresponsive connections.
 *
 * <p>What the listener has received remains valid while the service is unavailable. The service may cut a call that
 * waits; it counts as unavailable only if it leaves a call unanswered until its deadline, or if the next call fails
 * too. Runs on its own thread.
 *
 * @see PrefixReader
 */
public final class PrefixFollower implements Service {

    private static final Logger logger = LoggerFactory.getLogger(PrefixFollower.class);

    private static final long DEADLINE_SLACK_MILLIS = 250;

    private static final long READ_TIMEOUT_MILLIS = 1_000;

    /** The wait of a call that has to be answered at once. */
    private static final long MIN_WAIT_MILLIS = 1;

    /** The pause after a failed call, doubled with each further failure. */
    private static final long INITIAL_RETRY_MILLIS = 250;

    /** The maximum pause, half of the time in which keys that expired in an outage return, to detect its end. */
    private static final long MAX_RETRY_MILLIS = 1_000;

    private final PrefixReader reader;

    private final String prefix;

    private final long waitMillis;

    private final PollRateLimiter rateLimiter;

    private final PrefixListener listener;

    private final Clock clock;

    private final Thread thread;

    private volatile boolean running;

    private boolean storeLost;

    /** Whether the last call failed, so that the next one has to show at once whether the service is available. */
    private boolean lastCallFailed;

    private StorePosition position = new StorePosition(KeyValueStore.UNKNOWN_ERA, 0);

    private boolean current;

    /** Whether the listener has processed all results since the last snapshot; not if it threw an exception. */
    private boolean complete;

    private long retryMillis = INITIAL_RETRY_MILLIS;

    /**
     * Create a follower.
     *
     * @param reader reads the keys and their changes
     * @param prefix the prefix
     * @param waitMillis the time for which a call waits for a change, in milliseconds; an unresponsive connection is
     *     detected shortly after it
     * @param batchMillis the period in which changes are batched while keys change continuously, in milliseconds, to
     *     reduce the number of calls
     * @param listener the listener to keep up to date
     * @param clock the source of monotonic time
     */
    public PrefixFollower(
            PrefixReader reader,
            String prefix,
            long waitMillis,
            long batchMillis,
            PrefixListener listener,
            Clock clock) {
        this.reader = Assert.notNull(reader, "reader");
        this.prefix = Assert.notNull(prefix, "prefix");
        this.waitMillis = Assert.atLeast(waitMillis, 1, "waitMillis");
        this.rateLimiter = new PollRateLimiter(batchMillis, clock);
        this.listener = Assert.notNull(listener, "listener");
        this.clock = Assert.notNull(clock, "clock");
        this.thread = new Thread(this::run, "store-follower");
        this.thread.setDaemon(true);
    }

    @Override
    public String name() {
        return "store-follower";
    }

    @Override
    public void start() {
        running = true;
        thread.start();
    }

    @Override
    public void stop() {
        running = false;
        LockSupport.unpark(thread);
    }

    private void run() {
        while (running) {
            try {
                poll();
            } catch (RuntimeException failure) {
                logger.error("event=duty-failure duty=store-follower", failure);
                clock.pause(INITIAL_RETRY_MILLIS);
            }
        }
    }

    /** Make one call and pass its result to the listener. */
    void poll() {
        if (!complete && listener.needsEarlyConfirmation()) {
            current = false;
        }
        boolean succeeded = current ? readChanges() : readSnapshot();
        lastCallFailed = !succeeded;
        if (!succeeded) {
            reader.reconnect();
            clock.pause(retryMillis);
        }
        retryMillis = succeeded ? INITIAL_RETRY_MILLIS : Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
    }

    private boolean readSnapshot() {
        ClockReading sentAt = ClockReading.of(clock);
        long deadlineNanos = clock.deadlineNanos(READ_TIMEOUT_MILLIS);
        StoreResult<PrefixSnapshot> read = reader.snapshot(prefix, deadlineNanos);
        if (!(read instanceof StoreResult.Done<PrefixSnapshot> done)) {
            recordFailure(read, deadlineNanos);
            return false;
        }
        recordSuccess();
        position = done.value().position();
        current = true;
        complete = false;
        listener.onSnapshot(done.value());
        complete = true;
        listener.onConfirmed(sentAt);
        return true;
    }

    private boolean readChanges() {
        boolean early = storeLost ? listener.needsEarlyConfirmation() : lastCallFailed;
        ClockReading sentAt = ClockReading.of(clock);
        long deadlineNanos = clock.deadlineNanos(waitMillis + DEADLINE_SLACK_MILLIS);
        StoreResult<PrefixChanges> result =
                reader.changesAfter(prefix, position, early ? MIN_WAIT_MILLIS : waitMillis, deadlineNanos);
        if (!(result instanceof StoreResult.Done<PrefixChanges> done)) {
            recordFailure(result, deadlineNanos);
            return false;
        }
        recordSuccess();
        if (done.value() instanceof PrefixChanges.Known known) {
            // A service that is behind the known revision does not know the latest changes.
            boolean confirmed = known.position().revision() >= position.revision();
            position = confirmed ? known.position() : position;
            if (!known.items().isEmpty()) {
                boolean completeBefore = complete;
                complete = false;
                listener.onChanges(known.items());
                complete = completeBefore;
            }
            if (confirmed && complete) {
                listener.onConfirmed(sentAt);
            }
            if (!known.items().isEmpty()) {
                clock.pause(rateLimiter.pauseMillis());
            }
            return true;
        }
        logger.warn(
                "event=store-history-lost prefix={} era={} revision={}", prefix, position.era(), position.revision());
        current = false;
        return true;
    }

    /** Record a failed call, which is an outage if it was left unanswered or the call before failed too. */
    private void recordFailure(StoreResult<?> result, long deadlineNanos) {
        if (storeLost) {
            return;
        }
        boolean isCut = clock.millisUntil(deadlineNanos) > 0;
        if (isCut && !lastCallFailed) {
            logger.info("event=store-call-cut prefix={} revision={} result={}", prefix, position.revision(), result);
            return;
        }
        storeLost = true;
        logger.warn("event=store-lost prefix={} revision={} result={}", prefix, position.revision(), result);
        listener.onStoreLost();
    }

    private void recordSuccess() {
        if (storeLost) {
            storeLost = false;
            logger.info("event=store-regained prefix={} revision={}", prefix, position.revision());
            listener.onStoreRegained();
        }
    }
}
