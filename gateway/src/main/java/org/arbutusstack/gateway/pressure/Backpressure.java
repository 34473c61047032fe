package org.arbutusstack.gateway.pressure;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.kernel.log.LogThrottle;
import org.arbutusstack.kernel.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Backpressure of an entry: keeps the {@link MemoryAccount} up to date, ends what the decisions name, and reports each
 * end in the log and the metrics.
 *
 * <p>The account's bound protects every entry. The shares of slow callers and the wait for slow runners apply only
 * where the deployment asks for them. Confined to the entry's event loop.
 */
public final class Backpressure {

    /** Bodies that are smaller are neither refused nor watched: they take as much as the buffers of a connection. */
    public static final long MIN_LARGE_BYTES = 16_384;

    private static final Logger logger = LoggerFactory.getLogger(Backpressure.class);

    private static final int LOG_LINES_PER_SECOND = 20;

    private final MemoryAccount account;

    private final UnreadAnswers unread;

    private final SlowSends sends;

    private final boolean enabled;

    private final BackpressureMetrics metrics;

    private final LogThrottle throttle;

    private final Map<Object, MemoryAccount.Holding> answers = new IdentityHashMap<>();

    /**
     * Create the backpressure of an entry.
     *
     * @param maxBytes the bound on all bytes held
     * @param enabled whether slow callers and slow runners are bounded
     * @param clock the clock of the process
     * @param registry the metrics registry of the process
     */
    public Backpressure(long maxBytes, boolean enabled, Clock clock, PrometheusRegistry registry) {
        this.account = new MemoryAccount(maxBytes, clock);
        this.unread = new UnreadAnswers(account, this::recordEnd);
        this.sends = new SlowSends(clock);
        this.enabled = enabled;
        this.metrics = new BackpressureMetrics(registry);
        this.throttle = new LogThrottle(clock, LOG_LINES_PER_SECOND);
    }

    /**
     * Decide whether more bytes of a body may be read. Uploads that have stalled end if that makes room.
     *
     * @param bytes the number of bytes
     * @return {@code false} if the body is to be refused
     */
    public boolean admitBody(long bytes) {
        unread.refresh();
        while (!account.admitsBody(bytes)) {
            // No upload ends for a body that would not fit even into an empty account.
            boolean mayFit = bytes <= account.maxBodyBytes();
            Optional<MemoryAccount.Holding> stalled = mayFit ? account.stalledUpload() : Optional.empty();
            if (stalled.isEmpty()) {
                metrics.countDecision("body-refused");
                return false;
            }
            end("stalled", stalled.get());
        }
        return true;
    }

    /**
     * Open a holding for a body that is being read.
     *
     * @param request the identifier of the request, for logs
     * @param end refuses the request, which has not run
     * @return the holding, which must be closed
     */
    public MemoryAccount.Holding openUpload(String request, Runnable end) {
        return account.open(HoldingKind.UPLOAD, request, end);
    }

    /**
     * Account for a body that was read or is no longer held.
     *
     * @param bytes the size of the body, negative when it is released
     */
    public void bodyHeld(long bytes) {
        account.add(HoldingKind.BODY, bytes);
    }

    /**
     * Return the time after which a refused body may be admitted.
     *
     * @param bytes the size of the body
     * @return the time in milliseconds
     */
    public long retryAfterMillis(long bytes) {
        return account.retryAfterMillis(bytes);
    }

    /**
     * Account for an answer that is held until it can be relayed, and end what exceeds the bound.
     *
     * @param attempt the attempt, which identifies the answer
     * @param request the identifier of the request, for logs
     * @param bytes the bytes held; zero to release them
     * @param end ends the answer
     */
    public void answerHeld(Object attempt, String request, long bytes, Runnable end) {
        if (bytes == 0) {
            answerReleased(attempt);
            return;
        }
        answers.computeIfAbsent(attempt, key -> account.open(HoldingKind.ANSWER, request, end))
                .hold(bytes);
        endExcess();
    }

    /**
     * Stop accounting for an answer.
     *
     * @param attempt the attempt
     */
    public void answerReleased(Object attempt) {
        MemoryAccount.Holding holding = answers.isEmpty() ? null : answers.remove(attempt);
        if (holding != null) {
            holding.close();
        }
    }

    /**
     * Account for a part of an answer that was written to a caller's connection, and end what exceeds the bounds.
     *
     * @param response the response
     * @param request the identifier of the request, for logs
     * @param bytes the size of the part
     * @param streamed whether the answer is relayed event by event
     */
    public void written(ResponseSink response, String request, long bytes, boolean streamed) {
        unread.written(response, request, bytes, streamed);
        if (enabled) {
            unread.enforceShares(response);
        }
        endExcess();
    }

    /**
     * Watch an attempt whose body is being sent, if slow runners are bounded.
     *
     * @param attempt the attempt
     * @param unsentBytes the number of bytes of the body that the runner's connection has not taken
     * @param bodyBytes the size of the body
     * @param callerTimeoutMillis how long the caller waits for an answer, in milliseconds
     * @param deadlineNanos the deadline of the request
     * @param giveUp ends the attempt, whose request may have run; called at most once
     */
    public void sending(
            Object attempt,
            LongSupplier unsentBytes,
            long bodyBytes,
            long callerTimeoutMillis,
            long deadlineNanos,
            Runnable giveUp) {
        if (enabled && bodyBytes >= MIN_LARGE_BYTES) {
            sends.add(attempt, unsentBytes, bodyBytes, callerTimeoutMillis, deadlineNanos, giveUp);
        }
    }

    /**
     * Stop watching an attempt.
     *
     * @param attempt the attempt
     */
    public void sendEnded(Object attempt) {
        sends.remove(attempt);
    }

    /** Update the account with what callers have read, and apply the bounds that depend on time. */
    public void tick() {
        unread.refresh();
        if (enabled) {
            unread.endIdle();
            for (SlowSends.Send slow : sends.takeTooSlow()) {
                metrics.countDecision("slow-send");
                logSlowSend(slow);
                slow.giveUp();
            }
        }
        endExcess();
        metrics.update(account);
    }

    private void logSlowSend(SlowSends.Send slow) {
        if (throttle.tryAcquire()) {
            logger.info("event=slow-send-given-up {}", slow.describe());
        }
    }

    private void endExcess() {
        Optional<MemoryAccount.Holding> excess = account.excess();
        while (excess.isPresent()) {
            end("memory", excess.get());
            excess = account.excess();
        }
    }

    private void end(String cause, MemoryAccount.Holding holding) {
        recordEnd(cause, holding);
        holding.end();
    }

    private void recordEnd(String cause, MemoryAccount.Holding holding) {
        metrics.countDecision(cause + '-' + holding.kind().label());
        if (throttle.tryAcquire()) {
            logger.info(
                    "event=ended-for-memory cause={} kind={} request={} bytes={} recent_bytes={} age_ms={} held={}"
                            + " max={} dropped={}",
                    cause,
                    holding.kind().label(),
                    holding.request(),
                    holding.bytes(),
                    holding.progress().recentBytes(),
                    holding.progress().ageMillis(),
                    account.totalBytes(),
                    account.maxBytes(),
                    throttle.takeSuppressed());
        }
    }

    /**
     * Return the bytes held.
     *
     * @return the bytes of all kinds
     */
    public long heldBytes() {
        return account.totalBytes();
    }

    /**
     * Describe the account for the state dump of the process.
     *
     * @return one line
     */
    public String describe() {
        StringBuilder line = new StringBuilder("held=" + account.totalBytes() + " max=" + account.maxBytes());
        for (HoldingKind kind : HoldingKind.values()) {
            line.append(' ').append(kind.label()).append('=').append(account.bytesOf(kind));
        }
        return line + " unread_answers=" + unread.size() + " sends=" + sends.size() + " enabled=" + enabled;
    }
}
