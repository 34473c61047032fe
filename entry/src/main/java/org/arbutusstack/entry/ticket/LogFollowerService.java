package org.arbutusstack.entry.ticket;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReader;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.peer.LogFollower;
import org.arbutusstack.store.KeyValueStore;

/**
 * Service that follows the ticket log in the key-value service while this entry is a relay.
 *
 * <p>Runs on an event loop of its own. {@link #isCurrent} may be called by any thread.
 *
 * @see LogFollower
 */
public final class LogFollowerService implements Service {

    private static final int RING_SIZE = 64;

    private static final long TICK_MILLIS = 100;

    private final LogFollower follower;

    private final BooleanSupplier relay;

    private final EventLoop<Runnable> eventLoop = new EventLoop<>("log-follower", RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("log-follower-ticker");

    private final AtomicBoolean tickQueued = new AtomicBoolean();

    private volatile boolean current;

    /**
     * Create a new {@code LogFollowerService}.
     *
     * @param store the client of the key-value service
     * @param replica the local replica of the ticket log
     * @param clock the process clock
     * @param relay whether this entry is currently a relay
     */
    public LogFollowerService(KeyValueStore store, LogReplica replica, Clock clock, BooleanSupplier relay) {
        this.relay = Assert.notNull(relay, "relay");
        this.follower = new LogFollower(store, new LogReader(store, replica, clock), clock, eventLoop);
    }

    @Override
    public String name() {
        return "log-follower";
    }

    @Override
    public void start() {
        eventLoop.start();
        ticker.every(TICK_MILLIS, this::queueTick);
    }

    private void queueTick() {
        if (tickQueued.compareAndSet(false, true) && !eventLoop.offer(this::tick)) {
            tickQueued.set(false);
        }
    }

    private void tick() {
        tickQueued.set(false);
        follower.setRelay(relay.getAsBoolean());
        follower.tick();
        current = follower.isCurrent();
    }

    /**
     * Return whether the last attempt to read the key-value service succeeded.
     *
     * @return {@code true} if it succeeded
     */
    public boolean isCurrent() {
        return current;
    }

    @Override
    public void stop() {
        ticker.stop();
        eventLoop.offer(follower::close);
        eventLoop.stop();
    }
}
