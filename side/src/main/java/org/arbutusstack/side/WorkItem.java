package org.arbutusstack.side;

import java.io.ByteArrayOutputStream;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.event.EventStreamParser;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;

/** State of one request on the side, from its frame to its answer or refusal. Confined to the side's event loop. */
final class WorkItem {

    private static final int MAX_EVENT_BYTES = 1_048_576;

    private WorkFrame frame;

    private Link link;

    private final long deadlineNanos;

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

    private final EventStreamParser events = new EventStreamParser(MAX_EVENT_BYTES);

    private String adapterKey = "";

    private String modelVersion = "";

    private long offset;

    private boolean dispatched;

    private long dispatchedAtNanos;

    private long progressedAtNanos;

    private boolean exclusive;

    private boolean sent;

    private boolean complete;

    private boolean answerBegun;

    private boolean ended;

    private volatile boolean broken;

    private String claimant = "";

    private int status;

    private String contentType = "";

    private volatile HttpClient.Cancellable exchange;

    WorkItem(WorkFrame frame, Link link, long deadlineNanos) {
        this.frame = frame;
        this.link = link;
        this.deadlineNanos = deadlineNanos;
        this.offset = frame.resumeOffset();
    }

    /** Attach a later attempt of the same request, which receives the answer of this run. */
    void attach(WorkFrame later, Link newLink) {
        frame = later;
        link = newLink;
    }

    WorkFrame frame() {
        return frame;
    }

    Link link() {
        return link;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    ByteArrayOutputStream buffer() {
        return buffer;
    }

    /** Return the parser of the answer, if it is a stream. */
    EventStreamParser events() {
        return events;
    }

    String adapterKey() {
        return adapterKey;
    }

    String modelVersion() {
        return modelVersion;
    }

    void resolve(String version, String adapter) {
        modelVersion = version;
        adapterKey = adapter;
    }

    long advanceOffset(int units) {
        long before = offset;
        offset += units;
        return before;
    }

    boolean isDispatched() {
        return dispatched;
    }

    void markDispatched(long nowNanos) {
        dispatched = true;
        dispatchedAtNanos = nowNanos;
    }

    long dispatchedAtNanos() {
        return dispatchedAtNanos;
    }

    void recordProgress(long nowNanos) {
        progressedAtNanos = nowNanos;
    }

    long progressedAtNanos() {
        return progressedAtNanos;
    }

    /** Return whether no other work may run at the same time. */
    boolean isExclusive() {
        return exclusive;
    }

    void markExclusive() {
        exclusive = true;
    }

    boolean isSent() {
        return sent;
    }

    void markSent(HttpClient.Cancellable handle) {
        sent = true;
        exchange = handle;
        if (broken) {
            handle.cancel();
        }
    }

    boolean isAnswerBegun() {
        return answerBegun;
    }

    void markAnswerBegun() {
        answerBegun = true;
    }

    boolean isComplete() {
        return complete;
    }

    void markComplete() {
        complete = true;
    }

    String claimant() {
        return claimant;
    }

    void setClaimant(String claimantName) {
        claimant = claimantName;
    }

    void headReceived(int receivedStatus, String receivedContentType) {
        status = receivedStatus;
        contentType = receivedContentType;
    }

    int status() {
        return status;
    }

    String contentType() {
        return contentType;
    }

    /** Return whether a part of the answer was lost within this process. */
    boolean isBroken() {
        return broken;
    }

    /** Mark the answer as incomplete and cancel its exchange. May be called by any thread. */
    void markBroken() {
        broken = true;
        HttpClient.Cancellable current = exchange;
        if (current != null) {
            current.cancel();
        }
    }

    boolean isEnded() {
        return ended;
    }

    /** Mark the work as ended and cancel its exchange if it is still running. */
    void end() {
        ended = true;
        if (exchange != null) {
            exchange.cancel();
        }
    }
}
