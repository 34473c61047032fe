package org.arbutusstack.gateway.request;

import java.io.ByteArrayOutputStream;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerSpeed;
import org.arbutusstack.kernel.time.Clock;

/** Follows one attempt and hands what the runner says to the relay. Used by the entry's loop only. */
final class CurrentAttempt implements AnswerListener {

    /** The share of a caller's patience after which an attempt without an answer counts as the runner's failure. */
    private static final long PATIENCE_PERCENT = 80;

    private static final long PERCENT = 100;

    /** Many times the longest answer of a plain service; a longer one has no end. */
    private static final int LONGEST_ANSWER_BYTES = 16 * 1_024 * 1_024;

    private final AnswerRelay relay;

    private final ActiveRequest owner;

    private final KnownRunner runner;

    private final long sentAtNanos;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private RunnerPort.Attempt handle;

    private AnswerHead head;

    private boolean cancelled;

    private final RunnerSpeed.QueueEstimate queueEstimate;

    private long firstEventAtNanos;

    CurrentAttempt(AnswerRelay relay, ActiveRequest owner, KnownRunner runner, long sentAtNanos) {
        this.relay = relay;
        this.owner = owner;
        this.runner = runner;
        this.sentAtNanos = sentAtNanos;
        this.queueEstimate = runner.speed().queueEstimate();
    }

    void handle(RunnerPort.Attempt sent) {
        handle = sent;
        if (cancelled) {
            sent.cancel();
        }
    }

    KnownRunner runner() {
        return runner;
    }

    long sentAtNanos() {
        return sentAtNanos;
    }

    /** Lets the estimate for the runner learn from the first event. */
    void firstEventAt(long nowNanos) {
        firstEventAtNanos = nowNanos;
        runner.speed().recordFirstEvent(queueEstimate, nowNanos - sentAtNanos);
    }

    /** Lets the estimate learn from a stream that ended whole; one that another attempt began tells nothing. */
    void endedAt(long nowNanos) {
        if (firstEventAtNanos != 0) {
            runner.speed().recordCompletion(nowNanos - firstEventAtNanos);
        }
    }

    /** Tells whether the runner has done nothing for about as long as callers of the route wait. */
    boolean isStuck(long nowNanos) {
        long callerTimeoutMillis = owner.request().route().callerTimeoutMillis() * PATIENCE_PERCENT / PERCENT;
        return head == null && nowNanos - sentAtNanos >= callerTimeoutMillis * Clock.NANOS_PER_MILLI;
    }

    AnswerHead head() {
        return head;
    }

    byte[] body() {
        return body.toByteArray();
    }

    /** Closes the attempt's connection; nothing more is heard of it. */
    void cancel() {
        cancelled = true;
        if (handle != null) {
            handle.cancel();
        }
    }

    /** Lets the attempt run to its end without anybody to hear of it. */
    void orphan() {
        cancelled = true;
    }

    private boolean isCurrent() {
        return !cancelled && owner.attempt() == this;
    }

    @Override
    public void onHead(AnswerHead answered) {
        if (isCurrent()) {
            runner.recordLiveness();
            head = answered;
            relay.head(owner, this);
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (!isCurrent()) {
            return;
        }
        runner.recordLiveness();
        if (passesOn()) {
            relay.streamed(owner, this, bytes);
        } else if (body.size() + bytes.length > LONGEST_ANSWER_BYTES) {
            relay.tooLong(owner, this);
        } else {
            body.writeBytes(bytes);
        }
    }

    /** Tells whether the answer is passed on event by event. */
    boolean passesOn() {
        return head.eventStream() && head.isSuccess() && head.claim() == AnswerKind.ATTESTED;
    }

    @Override
    public void onEnd() {
        if (isCurrent()) {
            relay.whole(owner, this);
        }
    }

    @Override
    public void onFailed(boolean maybeSent, String detail) {
        if (isCurrent()) {
            relay.broken(owner, this, maybeSent, detail);
        }
    }
}
