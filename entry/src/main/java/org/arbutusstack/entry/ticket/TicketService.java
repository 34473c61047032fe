package org.arbutusstack.entry.ticket;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditTrail;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.AcceptResult;
import org.arbutusstack.ledger.AcceptedTicket;
import org.arbutusstack.ledger.LogCompactor;
import org.arbutusstack.ledger.TicketHistory;
import org.arbutusstack.ledger.TicketLog;
import org.arbutusstack.model.ticket.TicketEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Submits tickets to the ticket log, one after the other, and has the log compacted when that is due.
 *
 * <p>Runs on duties of its own, which wait for the key-value service. {@link #submit} and {@link #find} may be called
 * by any thread.
 */
public final class TicketService implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "tickets";

    private static final Logger logger = LoggerFactory.getLogger(TicketService.class);

    private static final int RING_SIZE = 256;

    private static final long SUBMIT_MILLIS = 6_000;

    private static final long FIND_MILLIS = 3_000;

    private static final long COMPACT_MILLIS = 120_000;

    private final TicketLog log;

    private final Clock clock;

    private final AuditTrail trail;

    private final LogCompactor compactor;

    private final TicketHistory history;

    private final TicketMetrics metrics;

    private final EventLoop<Runnable> duty = new EventLoop<>("tickets", RING_SIZE, Runnable::run);

    private final EventLoop<Runnable> archive = new EventLoop<>("ticket-archive", RING_SIZE, Runnable::run);

    private final AtomicBoolean compactionWaits = new AtomicBoolean();

    /**
     * Creates the service.
     *
     * @param log the ticket log; used by this service's duty only
     * @param compactor shortens the ticket log; used by this service's archive duty only
     * @param history finds tickets of long ago; used by this service's archive duty only
     * @param metrics counts what becomes of tickets
     * @param clock the clock of the process
     * @param trail takes what an auditor may ask about
     */
    public TicketService(
            TicketLog log,
            LogCompactor compactor,
            TicketHistory history,
            TicketMetrics metrics,
            Clock clock,
            AuditTrail trail) {
        this.metrics = Assert.notNull(metrics, "metrics");
        this.compactor = Assert.notNull(compactor, "compactor");
        this.history = Assert.notNull(history, "history");
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
        archive.start();
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
            metrics.submitted(outcome);
            result.complete(outcome);
            if (log.isCompactionDue()) {
                offerCompaction();
            }
        } catch (RuntimeException failure) {
            logger.error("event=ticket-failure number={}", entry.ticket().number(), failure);
            result.complete(new AcceptResult.Undecided(String.valueOf(failure.getMessage())));
        }
    }

    private void offerCompaction() {
        if (compactionWaits.compareAndSet(false, true) && !archive.offer(this::compact)) {
            compactionWaits.set(false);
        }
    }

    private void compact() {
        compactionWaits.set(false);
        metrics.compacted(compactor.compact(clock.deadlineNanos(COMPACT_MILLIS)));
    }

    /**
     * Finds a ticket, also one that this process keeps no longer.
     *
     * @param number the ticket's number
     * @return the ticket, or empty if it is unknown or the key-value service does not tell
     */
    public CompletableFuture<Optional<AcceptedTicket>> find(long number) {
        CompletableFuture<Optional<AcceptedTicket>> result = new CompletableFuture<>();
        boolean taken = archive.offer(() -> result.complete(history.find(number, clock.deadlineNanos(FIND_MILLIS))));
        if (!taken) {
            result.complete(Optional.empty());
        }
        return result;
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

    @Override
    public void stop() {
        duty.stop();
        archive.stop();
    }
}
