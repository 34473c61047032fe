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
 * the head now and then in case the watch is silent or lags.
 *
 * <p>A process that is no relay makes no call. Calls block up to their deadline. Used by one thread; what the watch
 * tells goes through the ring of that thread.
 */
public final class LogFollower {

    /** The period of reading the head, in milliseconds. */
    public static final long READ_PERIOD_MILLIS = 1_000;

    private static final long CATCH_UP_MILLIS = 3_000;

    private static final long WATCH_MILLIS = 3_600_000;

    private final KeyValueStore store;

    private final LogReader reader;

    private final Clock clock;

    private final Ring<Runnable> ring;

    private boolean relay;

    private boolean current;

    private WatchState watch;

    private long readRevision;

    private long readAtNanos;

    /**
     * Creates a follower.
     *
     * @param store the key-value service
     * @param reader brings the copy up to date
     * @param clock the clock of the process
     * @param ring runs tasks on the thread that owns the follower
     */
    public LogFollower(KeyValueStore store, LogReader reader, Clock clock, Ring<Runnable> ring) {
        this.store = Assert.notNull(store, "store");
        this.reader = Assert.notNull(reader, "reader");
        this.clock = Assert.notNull(clock, "clock");
        this.ring = Assert.notNull(ring, "ring");
        this.readAtNanos = clock.nowNanos();
    }

    /**
     * Begins or ends to follow.
     *
     * @param isRelay whether the process is a relay
     */
    public void setRelay(boolean isRelay) {
        if (relay == isRelay) {
            return;
        }
        relay = isRelay;
        if (relay) {
            readAtNanos = clock.nowNanos();
            tick();
        } else {
            close();
        }
    }

    /** Reads the head if the process is a relay and the time has come. */
    public void tick() {
        if (!relay || !clock.isPast(readAtNanos)) {
            return;
        }
        readAtNanos = clock.deadlineNanos(READ_PERIOD_MILLIS);
        long formerRevision = readRevision;
        reader.catchUp(clock.deadlineNanos(CATCH_UP_MILLIS))
                .ifPresentOrElse(revision -> read(formerRevision, revision), () -> current = false);
    }

    private void read(long formerRevision, long revision) {
        current = true;
        readRevision = revision;
        boolean isBehind = watch != null && watch.toldRevision < formerRevision;
        if (isBehind) {
            close();
        }
        if (watch == null || watch.ended) {
            open(revision);
        }
    }

    private void open(long revision) {
        WatchState opened = new WatchState(revision);
        watch = opened;
        opened.handle = store.watch(LogKeys.HEAD, revision + 1, clock.deadlineNanos(WATCH_MILLIS), opened);
    }

    /** Ends the watch. */
    public void close() {
        if (watch != null && watch.handle != null) {
            watch.handle.close();
        }
        watch = null;
    }

    /**
     * Tells whether the head could be read at the last try.
     *
     * @return whether it could
     */
    public boolean isCurrent() {
        return current;
    }

    /** Passes what one watch tells to the owning thread. */
    private final class WatchState implements KeyValueStore.WatchListener {

        private volatile long toldRevision;

        private volatile boolean ended;

        private KeyValueStore.Watch handle;

        WatchState(long toldRevision) {
            this.toldRevision = toldRevision;
        }

        @Override
        public void onChange(KeyValue keyValue) {
            if (!keyValue.key().equals(LogKeys.HEAD)) {
                return;
            }
            toldRevision = Math.max(toldRevision, keyValue.revision());
            ring.offer(() -> reader.follow(keyValue, clock.deadlineNanos(CATCH_UP_MILLIS)));
        }

        @Override
        public void onEnded(String detail) {
            ended = true;
        }
    }
}
