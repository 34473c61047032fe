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
 * Service that submits tickets to the ticket log one at a time, and compacts the log when due.
 *
 * <p>Runs on event loops of its own, which block on calls to the key-value service. {@link #submit} and {@link #find}
 * may be called by any thread.
 */
public final class TicketService implements Service {

    /** Name under which the service is registered. */
    public static final String NAME = "tickets";

    private static final Logger logger = LoggerFactory.getLogger(TicketService.class);

    private static final int RING_SIZE = 256;

    private static final long SUBMIT_TIMEOUT_MILLIS = 6_000;

    private static final long FIND_TIMEOUT_MILLIS = 3_000;

    private static final long COMPACTION_TIMEOUT_MILLIS = 120_000;

    private final TicketLog log;

    private final Clock clock;

    private final AuditTrail trail;

    private final LogCompactor compactor;

    private final TicketHistory history;

    private final TicketMetrics metrics;

    private final EventLoop<Runnable> eventLoop = new EventLoop<>("tickets", RING_SIZE, Runnable::run);

    private final EventLoop<Runnable> archive = new EventLoop<>("ticket-archive", RING_SIZE, Runnable::run);

    private final AtomicBoolean compactionQueued = new AtomicBoolean();

    /**
     * Create a new {@code TicketService}.
     *
     * @param log the ticket log; used only by the event loop for submissions
     * @param compactor the compactor of the ticket log; used only by the archive event loop
     * @param history the history of tickets that are no longer in the local replica; used only by the archive event
     * loop
     * @param metrics the metrics of tickets
     * @param clock the process clock
     * @param trail the audit trail that records submissions
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
        eventLoop.start();
        archive.start();
    }

    /**
     * Submit a ticket.
     *
     * @param entry the ticket with its operator
     * @return a future for the result of the submission
     */
    public CompletableFuture<AcceptResult> submit(TicketEntry entry) {
        CompletableFuture<AcceptResult> result = new CompletableFuture<>();
        boolean queued = eventLoop.offer(() -> submitNow(entry, result));
        if (!queued) {
            result.complete(new AcceptResult.NotAccepted("too many tickets wait"));
        }
        return result;
    }

    private void submitNow(TicketEntry entry, CompletableFuture<AcceptResult> result) {
        try {
            AcceptResult outcome = log.append(entry, clock.deadlineNanos(SUBMIT_TIMEOUT_MILLIS));
            logger.info(
                    "event=ticket number={} operator={} result={}",
                    entry.ticket().number(),
                    entry.operator(),
                    outcome.getClass().getSimpleName());
            trail.record(auditEventOf(entry, outcome));
            metrics.submitted(outcome);
            result.complete(outcome);
            if (log.isCompactionDue()) {
                queueCompaction();
            }
        } catch (RuntimeException failure) {
            logger.error("event=ticket-failure number={}", entry.ticket().number(), failure);
            result.complete(new AcceptResult.Undecided(String.valueOf(failure.getMessage())));
        }
    }

    private void queueCompaction() {
        if (compactionQueued.compareAndSet(false, true) && !archive.offer(this::compact)) {
            compactionQueued.set(false);
        }
    }

    private void compact() {
        compactionQueued.set(false);
        metrics.compacted(compactor.compact(clock.deadlineNanos(COMPACTION_TIMEOUT_MILLIS)));
    }

    /**
     * Find a ticket, including one that is no longer in the local replica.
     *
     * @param number the ticket number
     * @return a future for the ticket, empty if it is unknown or the key-value service could not be read
     */
    public CompletableFuture<Optional<AcceptedTicket>> find(long number) {
        CompletableFuture<Optional<AcceptedTicket>> result = new CompletableFuture<>();
        boolean queued =
                archive.offer(() -> result.complete(history.find(number, clock.deadlineNanos(FIND_TIMEOUT_MILLIS))));
        if (!queued) {
            result.complete(Optional.empty());
        }
        return result;
    }

    private static AuditEvent auditEventOf(TicketEntry entry, AcceptResult outcome) {
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
        eventLoop.stop();
        archive.stop();
    }
}
