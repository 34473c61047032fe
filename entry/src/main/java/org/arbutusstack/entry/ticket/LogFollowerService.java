package org.arbutusstack.entry.ticket;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Duty;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReader;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.peer.LogFollower;
import org.arbutusstack.store.KeyValueStore;

/**
 * Runs the duty that follows the ticket log in the key-value service while the entry is a relay.
 *
 * <p>{@link #isCurrent} may be called by any thread.
 *
 * @see LogFollower
 */
public final class LogFollowerService implements Service {

    private static final int RING_SIZE = 64;

    private static final long TICK_MILLIS = 100;

    private final LogFollower follower;

    private final BooleanSupplier relay;

    private final Duty<Runnable> duty = new Duty<>("log-follower", RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("log-follower-ticker");

    private final AtomicBoolean tickWaits = new AtomicBoolean();

    private volatile boolean current;

    /**
     * Creates the service.
     *
     * @param store the key-value service
     * @param replica this process's copy of the ticket log
     * @param clock the clock of the process
     * @param relay tells whether the entry is a relay
     */
    public LogFollowerService(KeyValueStore store, LogReplica replica, Clock clock, BooleanSupplier relay) {
        this.relay = Assert.notNull(relay, "relay");
        this.follower = new LogFollower(store, new LogReader(store, replica, clock), clock, duty);
    }

    @Override
    public String name() {
        return "log-follower";
    }

    @Override
    public void start() {
        duty.start();
        ticker.every(TICK_MILLIS, this::offerTick);
    }

    private void offerTick() {
        if (tickWaits.compareAndSet(false, true) && !duty.offer(this::tick)) {
            tickWaits.set(false);
        }
    }

    private void tick() {
        tickWaits.set(false);
        follower.setRelay(relay.getAsBoolean());
        follower.tick();
        current = follower.isCurrent();
    }

    /**
     * Tells whether the key-value service could be read at the last try.
     *
     * @return whether it could
     */
    public boolean isCurrent() {
        return current;
    }

    @Override
    public void stop() {
        ticker.stop();
        duty.offer(follower::close);
        duty.stop();
    }
}
