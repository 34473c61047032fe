package org.arbutusstack.gateway.pressure;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.time.Clock;

/**
 * The requests whose bodies are being sent to runners, and the decision which attempts are given up since the runner
 * reads too slowly. Performs no I/O.
 *
 * <p>Load addressed: a runner that stops reading, or reads a body so slowly that it would not have read it before the
 * deadline. An attempt is given up after half of the time that the caller waits, so that the other half remains for
 * another runner, and only if the body would not be sent before the deadline at the recent speed. Confined to the
 * entry's event loop.
 */
final class SlowSends {

    private final Clock clock;

    private final Map<Object, Send> sendByAttempt = new IdentityHashMap<>();

    SlowSends(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Watch an attempt that has just begun.
     *
     * @param attempt the attempt
     * @param unsentBytes the number of bytes of the body that the runner's connection has not taken
     * @param bodyBytes the size of the body
     * @param callerTimeoutMillis how long the caller waits for an answer, in milliseconds
     * @param deadlineNanos the deadline of the request
     * @param giveUp ends the attempt; called at most once
     */
    void add(
            Object attempt,
            LongSupplier unsentBytes,
            long bodyBytes,
            long callerTimeoutMillis,
            long deadlineNanos,
            Runnable giveUp) {
        long waitMillis = Math.min(callerTimeoutMillis, clock.millisUntil(deadlineNanos)) / 2;
        long waitEndNanos = clock.deadlineNanos(waitMillis);
        sendByAttempt.put(
                attempt,
                new Send(unsentBytes, bodyBytes, waitEndNanos, deadlineNanos, giveUp, new ProgressWindow(clock)));
    }

    void remove(Object attempt) {
        if (!sendByAttempt.isEmpty()) {
            sendByAttempt.remove(attempt);
        }
    }

    /** Remove the attempts whose bodies were sent; return those to give up. */
    List<Send> takeTooSlow() {
        List<Send> tooSlow = new ArrayList<>();
        for (Map.Entry<Object, Send> entry : new ArrayList<>(sendByAttempt.entrySet())) {
            Send each = entry.getValue();
            long unsentBytes = each.refresh();
            boolean isTooSlow = unsentBytes > 0 && clock.isPast(each.waitEndNanos) && isLate(each, unsentBytes);
            if (unsentBytes == 0 || isTooSlow) {
                sendByAttempt.remove(entry.getKey());
            }
            if (isTooSlow) {
                tooSlow.add(each);
            }
        }
        return tooSlow;
    }

    /**
     * Return whether the rest of a body would be sent after the deadline at the recent speed. The first part of a body
     * only fills the buffers of the connection, so the average speed says nothing.
     */
    private boolean isLate(Send send, long unsentBytes) {
        return send.progress.millisSinceMoved() >= ProgressWindow.WINDOW_MILLIS
                || unsentBytes * ProgressWindow.WINDOW_MILLIS
                        > send.progress.recentBytes() * clock.millisUntil(send.deadlineNanos);
    }

    int size() {
        return sendByAttempt.size();
    }

    /** A body that is being sent. */
    static final class Send {

        private final LongSupplier unsent;

        private final long bodyBytes;

        private final long waitEndNanos;

        private final long deadlineNanos;

        private final Runnable giveUp;

        private final ProgressWindow progress;

        private long unsentBytes;

        private Send(
                LongSupplier unsent,
                long bodyBytes,
                long waitEndNanos,
                long deadlineNanos,
                Runnable giveUp,
                ProgressWindow progress) {
            this.unsent = unsent;
            this.bodyBytes = bodyBytes;
            this.waitEndNanos = waitEndNanos;
            this.deadlineNanos = deadlineNanos;
            this.giveUp = giveUp;
            this.progress = progress;
            this.unsentBytes = bodyBytes;
        }

        /** Record what was sent since the last call; return what is not sent. */
        private long refresh() {
            long before = unsentBytes;
            unsentBytes = unsent.getAsLong();
            progress.moved(before - unsentBytes);
            return unsentBytes;
        }

        /** End the attempt. */
        void giveUp() {
            IsolatedSteps.run("slow-sends", giveUp);
        }

        String describe() {
            return "unsent_bytes=" + unsentBytes + " body_bytes=" + bodyBytes + " still_ms="
                    + progress.millisSinceMoved();
        }
    }
}
