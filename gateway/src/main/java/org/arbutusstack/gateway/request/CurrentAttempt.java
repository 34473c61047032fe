package org.arbutusstack.gateway.request;

import java.io.ByteArrayOutputStream;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerSpeed;
import org.arbutusstack.http.event.EventStreamParser;
import org.arbutusstack.kernel.time.Clock;

/**
 * An attempt of a request at one runner; passes the parts of the answer to the relay. Confined to the entry's event
 * loop.
 */
final class CurrentAttempt implements AnswerListener {

    /** Share of the caller timeout after which an attempt without an answer counts as a failure of the runner. */
    private static final long STALL_PERCENT = 80;

    private static final long PERCENT = 100;

    /**
     * Limit on a buffered answer: many times the longest one of a plain service, so that an endless answer is detected.
     */
    private static final int MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;

    private static final int MAX_EVENT_BYTES = 1_048_576;

    private final AnswerRelay relay;

    private final ActiveRequest owner;

    private final KnownRunner runner;

    private final long sentAtNanos;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private final EventStreamParser events = new EventStreamParser(MAX_EVENT_BYTES);

    private RunnerPort.Attempt handle;

    private AnswerHead head;

    private boolean cancelled;

    /** Whether the request runs on although its caller has left. */
    private boolean detached;

    private boolean bodyBegun;

    private final RunnerSpeed.QueueEstimate queueEstimate;

    private long firstEventAtNanos;

    private boolean eventRelayed;

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
        } else if (isCurrent()) {
            relay.sendBegun(this, sent);
        }
    }

    KnownRunner runner() {
        return runner;
    }

    long sentAtNanos() {
        return sentAtNanos;
    }

    /** Return whether an event of the answer was received, or for an answer that is not a stream, a part of it. */
    boolean isBegun() {
        return eventRelayed || bodyBegun;
    }

    /** Return whether the connection, whose end also ends the answer, ended before any part of the body. */
    boolean endedAfterHead() {
        return !head.framed() && head.isSuccess() && !isBegun();
    }

    /** Record that an event of the answer was relayed. */
    void recordEvent() {
        eventRelayed = true;
        runner.speed().recordEvent();
    }

    /** Update the runner's first-event estimate with the time that this attempt, which opened the stream, took. */
    void recordFirstEvent(long nowNanos) {
        firstEventAtNanos = nowNanos;
        runner.speed().recordFirstEvent(queueEstimate, owner.request().prefillTokens(), nowNanos - sentAtNanos);
    }

    /** Update the runner's estimate with the duration of a complete answer that is no stream. */
    void recordAnswer(long nowNanos) {
        runner.speed().recordAnswer(nowNanos - sentAtNanos);
    }

    /**
     * Update the runner's estimate with the duration of a complete stream. A resumed stream is ignored: another attempt
     * received its first event.
     */
    void recordStreamEnd(long nowNanos) {
        if (firstEventAtNanos != 0) {
            runner.speed().recordCompletion(nowNanos - firstEventAtNanos);
        }
    }

    /** Return whether the runner has sent no answer for almost as long as callers of the route wait. */
    boolean isStalled(long nowNanos) {
        long stallMillis = owner.request().route().callerTimeoutMillis() * STALL_PERCENT / PERCENT;
        return head == null && nowNanos - sentAtNanos >= stallMillis * Clock.NANOS_PER_MILLI;
    }

    AnswerHead head() {
        return head;
    }

    byte[] body() {
        return body.toByteArray();
    }

    EventStreamParser events() {
        return events;
    }

    /** Close the connection of the attempt and ignore further events. */
    void cancel() {
        cancelled = true;
        if (handle != null) {
            handle.cancel();
        }
    }

    /** Let the attempt run to completion without a caller; what it shows of the runner and the content still counts. */
    void detach() {
        detached = true;
    }

    /** Release what the attempt uses. */
    void end() {
        runner.recordEnd();
        if (firstEventAtNanos != 0) {
            runner.speed().recordStreamEnd();
        }
        relay.release(this);
    }

    ActiveRequest owner() {
        return owner;
    }

    private boolean isCurrent() {
        return !cancelled && owner.attempt() == this;
    }

    @Override
    public void onHead(AnswerHead answered) {
        if (isCurrent()) {
            runner.recordLiveness();
            head = answered;
            relay.handle(this, () -> relay.headReceived(owner, this));
        } else if (detached) {
            runner.recordLiveness();
            head = answered;
            relay.detachedAttempts().headReceived(this);
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (detached) {
            runner.recordLiveness();
            bodyBegun = true;
        }
        if (!isCurrent()) {
            return;
        }
        runner.recordLiveness();
        relay.handle(this, () -> handleBytes(bytes));
    }

    private void handleBytes(byte[] bytes) {
        if (isStreamed()) {
            relay.bytesReceived(owner, this, bytes);
        } else if (body.size() + bytes.length > MAX_ANSWER_BYTES) {
            relay.answerTooLarge(owner, this);
        } else {
            bodyBegun = true;
            body.writeBytes(bytes);
        }
        if (isCurrent()) {
            relay.hold(this, body.size() + events.heldBytes());
        }
    }

    /** Return whether the answer is relayed event by event. */
    boolean isStreamed() {
        return head.eventStream() && head.isSuccess() && head.answerKind() == AnswerKind.ATTESTED;
    }

    @Override
    public void onEnd() {
        if (isCurrent()) {
            relay.handle(this, () -> relay.answerCompleted(owner, this));
        } else if (detached) {
            relay.detachedAttempts().completed(owner, this);
        }
    }

    @Override
    public void onMalformed(String detail) {
        if (isCurrent()) {
            relay.handle(this, () -> relay.answerMalformed(owner, this, detail));
        } else if (detached) {
            runner.outcomes().failed();
        }
    }

    @Override
    public void onFailed(boolean maybeSent, String detail) {
        if (isCurrent()) {
            relay.handle(this, () -> relay.attemptFailed(owner, this, maybeSent, detail));
        } else if (detached) {
            relay.detachedAttempts().failed(owner, this, maybeSent);
        }
    }
}
