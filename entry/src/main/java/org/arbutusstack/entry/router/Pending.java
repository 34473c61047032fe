package org.arbutusstack.entry.router;

import java.io.ByteArrayOutputStream;
import org.arbutusstack.wire.frame.AnswerHeadFrame;

/** Follows one request of a caller through its attempts. Used by the router's duty only. */
final class Pending {

    private final CallerRequest request;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private int attempt;

    private SideConnection side;

    private boolean receipt;

    private long receiptDueNanos;

    private long delivered;

    private boolean streamOpened;

    private AnswerHeadFrame head;

    Pending(CallerRequest request) {
        this.request = request;
    }

    CallerRequest request() {
        return request;
    }

    ByteArrayOutputStream body() {
        return body;
    }

    int attempt() {
        return attempt;
    }

    void assign(SideConnection chosen, long dueNanos) {
        attempt++;
        side = chosen;
        receipt = false;
        receiptDueNanos = dueNanos;
        head = null;
        if (!request.stream()) {
            body.reset();
            delivered = 0;
        }
    }

    void unassign() {
        side = null;
    }

    SideConnection side() {
        return side;
    }

    boolean hasReceipt() {
        return receipt;
    }

    void receipt() {
        receipt = true;
    }

    long receiptDueNanos() {
        return receiptDueNanos;
    }

    long delivered() {
        return delivered;
    }

    void deliver(int units) {
        delivered += units;
    }

    AnswerHeadFrame head() {
        return head;
    }

    void head(AnswerHeadFrame opened) {
        head = opened;
    }

    boolean isStreamOpened() {
        return streamOpened;
    }

    void openStream() {
        streamOpened = true;
    }
}
