package org.arbutusstack.ledger.peer;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogKeys;
import org.arbutusstack.ledger.LogReader;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;

/**
 * Follows the ticket log in the key-value service while the process is a relay: by a watch on the head, and by reading
 * the head periodically in case the watch is unresponsive or lags.
 *
 * <p>A process that is not a relay makes no calls. Calls block up to their deadline. Used by a single thread; changes
 * from the watch are queued on the ring of that thread.
 */
public final class LogFollower {

    /** The interval between reads of the head, in milliseconds. */
    public static final long READ_INTERVAL_MILLIS = 1_000;

    private static final long CATCH_UP_TIMEOUT_MILLIS = 3_000;

    private static final long WATCH_TIMEOUT_MILLIS = 3_600_000;

    private final KeyValueStore store;

    private final LogReader reader;

    private final Clock clock;

    private final Ring<Runnable> ring;

    private boolean relay;

    private boolean current;

    private WatchState watch;

    private long readRevision;

    private long nextReadNanos;

    /**
     * Create a follower.
     *
     * @param store the key-value service
     * @param reader brings the replica up to date
     * @param clock the source of monotonic and wall-clock time
     * @param ring runs tasks on the thread that owns the follower
     */
    public LogFollower(KeyValueStore store, LogReader reader, Clock clock, Ring<Runnable> ring) {
        this.store = Assert.notNull(store, "store");
        this.reader = Assert.notNull(reader, "reader");
        this.clock = Assert.notNull(clock, "clock");
        this.ring = Assert.notNull(ring, "ring");
        this.nextReadNanos = clock.nowNanos();
    }

    /**
     * Start or stop following.
     *
     * @param isRelay whether the process is a relay
     */
    public void setRelay(boolean isRelay) {
        if (relay == isRelay) {
            return;
        }
        relay = isRelay;
        if (relay) {
            nextReadNanos = clock.nowNanos();
            tick();
        } else {
            close();
        }
    }

    /** Read the head if the process is a relay and the read is due. */
    public void tick() {
        if (!relay || !clock.isPast(nextReadNanos)) {
            return;
        }
        nextReadNanos = clock.deadlineNanos(READ_INTERVAL_MILLIS);
        long previousRevision = readRevision;
        reader.catchUp(clock.deadlineNanos(CATCH_UP_TIMEOUT_MILLIS))
                .ifPresentOrElse(revision -> headRead(previousRevision, revision), () -> current = false);
    }

    private void headRead(long previousRevision, long revision) {
        current = true;
        readRevision = revision;
        boolean isWatchBehind = watch != null && watch.lastRevision < previousRevision;
        if (isWatchBehind) {
            close();
        }
        if (watch == null || watch.ended) {
            openWatch(revision);
        }
    }

    private void openWatch(long revision) {
        WatchState opened = new WatchState(revision);
        watch = opened;
        opened.handle = store.watch(LogKeys.HEAD, revision + 1, clock.deadlineNanos(WATCH_TIMEOUT_MILLIS), opened);
    }

    /** Close the watch. */
    public void close() {
        if (watch != null && watch.handle != null) {
            watch.handle.close();
        }
        watch = null;
    }

    /**
     * Return whether the last read of the head brought the replica up to date.
     *
     * @return whether the last read succeeded
     */
    public boolean isCurrent() {
        return current;
    }

    /** Passes the changes of one watch to the owning thread. */
    private final class WatchState implements KeyValueStore.WatchListener {

        private volatile long lastRevision;

        private volatile boolean ended;

        private KeyValueStore.Watch handle;

        WatchState(long lastRevision) {
            this.lastRevision = lastRevision;
        }

        @Override
        public void onChange(KeyValue keyValue) {
            if (!keyValue.key().equals(LogKeys.HEAD)) {
                return;
            }
            lastRevision = Math.max(lastRevision, keyValue.revision());
            ring.offer(() -> reader.catchUpTo(keyValue, clock.deadlineNanos(CATCH_UP_TIMEOUT_MILLIS)));
        }

        @Override
        public void onEnded(String detail) {
            ended = true;
        }
    }
}
