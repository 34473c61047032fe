package org.arbutusstack.entry.ticket;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditTrail;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Duty;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.AcceptResult;
import org.arbutusstack.ledger.LogKeys;
import org.arbutusstack.ledger.TicketLog;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Submits tickets and keeps this process's copy of the ticket log up to date, by a watch and by reading now and then.
 *
 * <p>Runs on a duty of its own, which waits for the key-value service. {@link #submit} may be called by any thread.
 */
public final class TicketService implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "tickets";

    private static final Logger logger = LoggerFactory.getLogger(TicketService.class);

    private static final int RING_SIZE = 256;

    private static final long READ_PERIOD_MILLIS = 1_000;

    private static final long CALL_MILLIS = 1_000;

    private static final long SUBMIT_MILLIS = 5_000;

    private static final long WATCH_MILLIS = 3_600_000;

    private final KeyValueStore store;

    private final TicketLog log;

    private final Clock clock;

    private final AuditTrail trail;

    private final Duty<Runnable> duty = new Duty<>("tickets", RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("tickets-ticker");

    private volatile KeyValueStore.Watch watch;

    private volatile boolean current;

    /**
     * Creates the service.
     *
     * @param store the key-value service
     * @param log the ticket log; used by this service's duty only
     * @param clock the clock of the process
     * @param trail takes what an auditor may ask about
     */
    public TicketService(KeyValueStore store, TicketLog log, Clock clock, AuditTrail trail) {
        this.store = Assert.notNull(store, "store");
        this.log = Assert.notNull(log, "log");
        this.clock = Assert.notNull(clock, "clock");
        this.trail = Assert.notNull(trail, "trail");
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        duty.start();
        duty.offer(this::refresh);
        ticker.every(READ_PERIOD_MILLIS, () -> duty.offer(this::refresh));
    }

    /**
     * Submits a ticket.
     *
     * @param entry the ticket with who submitted it
     * @return what became of it, once that is known
     */
    public CompletableFuture<AcceptResult> submit(TicketEntry entry) {
        CompletableFuture<AcceptResult> result = new CompletableFuture<>();
        boolean taken = duty.offer(() -> submitNow(entry, result));
        if (!taken) {
            result.complete(new AcceptResult.NotAccepted("too many tickets wait"));
        }
        return result;
    }

    private void submitNow(TicketEntry entry, CompletableFuture<AcceptResult> result) {
        try {
            AcceptResult outcome = log.append(entry, clock.deadlineNanos(SUBMIT_MILLIS));
            logger.info(
                    "event=ticket number={} operator={} result={}",
                    entry.ticket().number(),
                    entry.operator(),
                    outcome.getClass().getSimpleName());
            trail.record(eventOf(entry, outcome));
            result.complete(outcome);
        } catch (RuntimeException failure) {
            logger.error("event=ticket-failure number={}", entry.ticket().number(), failure);
            result.complete(new AcceptResult.Undecided(String.valueOf(failure.getMessage())));
        }
    }

    private static AuditEvent eventOf(TicketEntry entry, AcceptResult outcome) {
        long sequence = outcome instanceof AcceptResult.Accepted accepted
                ? accepted.ticket().sequence()
                : 0;
        return new AuditEvent.TicketSubmitted(
                entry.ticket().number(),
                entry.operator(),
                entry.ticket().digest().hex(),
                outcome.getClass().getSimpleName().toLowerCase(Locale.ROOT),
                sequence);
    }

    private void refresh() {
        Optional<Long> revision = log.catchUp(clock.deadlineNanos(CALL_MILLIS));
        current = revision.isPresent();
        if (revision.isPresent() && watch == null) {
            openWatch(revision.get() + 1);
        }
    }

    private void openWatch(long fromRevision) {
        watch = store.watch(LogKeys.HEAD, fromRevision, clock.deadlineNanos(WATCH_MILLIS), new HeadListener());
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
        duty.stop();
        KeyValueStore.Watch open = watch;
        if (open != null) {
            open.close();
        }
    }

    /** Brings the copy up to date when the head changes. */
    private final class HeadListener implements KeyValueStore.WatchListener {

        @Override
        public void onChange(KeyValue keyValue) {
            duty.offer(TicketService.this::refresh);
        }

        @Override
        public void onEnded(String detail) {
            watch = null;
        }
    }
}
