package org.arbutusstack.side;

import java.io.ByteArrayOutputStream;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;

/** Follows one request through the side. Used by the side's duty only. */
final class Work {

    private final WorkFrame frame;

    private final Link link;

    private final long deadlineNanos;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    private String adapterKey = "";

    private String modelVersion = "";

    private long offset;

    private boolean dispatched;

    private boolean sent;

    private boolean whole;

    private boolean ended;

    private HttpClient.Cancellable exchange;

    Work(WorkFrame frame, Link link, long deadlineNanos) {
        this.frame = frame;
        this.link = link;
        this.deadlineNanos = deadlineNanos;
        this.offset = frame.resumeOffset();
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

    void markDispatched() {
        dispatched = true;
    }

    boolean isSent() {
        return sent;
    }

    void sent(HttpClient.Cancellable handle) {
        sent = true;
        exchange = handle;
    }

    boolean isWhole() {
        return whole;
    }

    void markWhole() {
        whole = true;
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
