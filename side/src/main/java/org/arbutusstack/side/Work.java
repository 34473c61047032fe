package org.arbutusstack.side;

import java.io.ByteArrayOutputStream;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;

/** Follows one request through the side. Used by the side's duty only. */
final class Work {

    private WorkFrame frame;

    private Link link;

    private final long deadlineNanos;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    private String adapterKey = "";

    private String modelVersion = "";

    private long offset;

    private boolean dispatched;

    private long dispatchedAtNanos;

    private long progressedAtNanos;

    private boolean alone;

    private boolean sent;

    private boolean whole;

    private boolean ended;

    private volatile boolean broken;

    private String claimant = "";

    private int status;

    private String contentType = "";

    private volatile HttpClient.Cancellable exchange;

    Work(WorkFrame frame, Link link, long deadlineNanos) {
        this.frame = frame;
        this.link = link;
        this.deadlineNanos = deadlineNanos;
        this.offset = frame.resumeOffset();
    }

    /** Lets a later attempt of the same request wait for this run's answer. */
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

    ByteArrayOutputStream partial() {
        return partial;
    }

    String adapterKey() {
        return adapterKey;
    }

    String modelVersion() {
        return modelVersion;
    }

    void resolved(String version, String adapter) {
        modelVersion = version;
        adapterKey = adapter;
    }

    long advance(int units) {
        long before = offset;
        offset += units;
        return before;
    }

    boolean isDispatched() {
        return dispatched;
    }

    void dispatchedAt(long nowNanos) {
        dispatched = true;
        dispatchedAtNanos = nowNanos;
    }

    long dispatchedAtNanos() {
        return dispatchedAtNanos;
    }

    void progressedAt(long nowNanos) {
        progressedAtNanos = nowNanos;
    }

    long progressedAtNanos() {
        return progressedAtNanos;
    }

    /** Tells whether nothing else runs beside it. */
    boolean isAlone() {
        return alone;
    }

    void runAlone() {
        alone = true;
    }

    boolean isSent() {
        return sent;
    }

    void sent(HttpClient.Cancellable handle) {
        sent = true;
        exchange = handle;
        if (broken) {
            handle.cancel();
        }
    }

    boolean isWhole() {
        return whole;
    }

    void markWhole() {
        whole = true;
    }

    String claimant() {
        return claimant;
    }

    void claimedAs(String name) {
        claimant = name;
    }

    void opened(int answeredStatus, String answeredType) {
        status = answeredStatus;
        contentType = answeredType;
    }

    int status() {
        return status;
    }

    String contentType() {
        return contentType;
    }

    /** Tells whether a part of the answer was lost on its way through this process. */
    boolean isBroken() {
        return broken;
    }

    /** Marks the answer as not whole and gives up its exchange; may be called by any thread. */
    void markBroken() {
        broken = true;
        HttpClient.Cancellable running = exchange;
        if (running != null) {
            running.cancel();
        }
    }

    boolean isEnded() {
        return ended;
    }

    /** Marks the work as ended and gives up its exchange if that still runs. */
    void end() {
        ended = true;
        if (exchange != null) {
            exchange.cancel();
        }
    }
}
