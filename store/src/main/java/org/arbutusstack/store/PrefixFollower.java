package org.arbutusstack.store;

import java.util.concurrent.locks.LockSupport;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a listener up to date on the keys with a prefix, through outages, lost history and silent connections.
 *
 * <p>What was told stands while the service is away. Runs on a duty of its own.
 *
 * @see PrefixReader
 */
public final class PrefixFollower implements Service {

    private static final Logger logger = LoggerFactory.getLogger(PrefixFollower.class);

    private static final long SLACK_MILLIS = 250;

    private static final long READ_MILLIS = 1_000;

    /** The pause after a failed call, doubled by each further one. */
    private static final long RETRY_MILLIS = 250;

    /** The longest pause: half of the time in which what lapsed in an outage is back, so that its end is not missed. */
    private static final long MOST_RETRY_MILLIS = 1_000;

    private final PrefixReader reader;

    private final String prefix;

    private final long waitMillis;

    private final PollPace pace;

    private final PrefixListener listener;

    private final Clock clock;

    private final Thread thread;

    private volatile boolean running;

    private boolean lost;

    private long revision;

    private boolean current;

    private long retryMillis = RETRY_MILLIS;

    /**
     * Creates a follower.
     *
     * @param reader reads the service
     * @param prefix the prefix
     * @param waitMillis how long one call waits for a change; a silent connection shows soon after
     * @param gatherMillis the period in which changes are gathered while keys change all the time, to save calls
     * @param listener is kept up to date
     * @param clock the clock of the process
     */
    public PrefixFollower(
            PrefixReader reader,
            String prefix,
            long waitMillis,
            long gatherMillis,
            PrefixListener listener,
            Clock clock) {
        this.reader = Assert.notNull(reader, "reader");
        this.prefix = Assert.notNull(prefix, "prefix");
        this.waitMillis = Assert.atLeast(waitMillis, 1, "waitMillis");
        this.pace = new PollPace(gatherMillis, clock);
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
                step();
            } catch (RuntimeException failure) {
                logger.error("event=duty-failure duty=store-follower", failure);
                clock.pause(RETRY_MILLIS);
            }
        }
    }

    /** Makes one call and hands on what it told. */
    void step() {
        boolean told = current ? follow() : read();
        if (!told) {
            reader.reconnect();
            clock.pause(retryMillis);
        }
        retryMillis = told ? RETRY_MILLIS : Math.min(MOST_RETRY_MILLIS, 2 * retryMillis);
    }

    private boolean read() {
        StoreResult<PrefixSnapshot> read = reader.snapshot(prefix, clock.deadlineNanos(READ_MILLIS));
        if (!(read instanceof StoreResult.Done<PrefixSnapshot> done)) {
            lost(read);
            return false;
        }
        regained();
        revision = done.value().revision();
        current = true;
        listener.onSnapshot(done.value());
        return true;
    }

    private boolean follow() {
        StoreResult<PrefixChanges> result =
                reader.changesAfter(prefix, revision, waitMillis, clock.deadlineNanos(waitMillis + SLACK_MILLIS));
        if (!(result instanceof StoreResult.Done<PrefixChanges> done)) {
            lost(result);
            return false;
        }
        regained();
        if (done.value() instanceof PrefixChanges.Known known) {
            revision = Math.max(revision, known.revision());
            if (!known.items().isEmpty()) {
                listener.onChanges(known.items());
                clock.pause(pace.pauseMillis());
            }
            return true;
        }
        logger.warn("event=store-history-lost prefix={} revision={}", prefix, revision);
        current = false;
        return true;
    }

    private void lost(StoreResult<?> result) {
        if (!lost) {
            lost = true;
            logger.warn("event=store-lost prefix={} revision={} result={}", prefix, revision, result);
            listener.onStoreLost();
        }
    }

    private void regained() {
        if (lost) {
            lost = false;
            logger.info("event=store-regained prefix={} revision={}", prefix, revision);
            listener.onStoreRegained();
        }
    }
}
