package org.arbutusstack.entry.router;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.routing.RoutingRequest;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.wire.frame.AnswerHeadFrame;

/** State of one caller request across its attempts. Not thread-safe: confined to the router's event loop. */
final class PendingRequest {

    private final CallerRequest request;

    private final long arrivedNanos;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private final Set<String> avoided = new HashSet<>();

    private int attempt;

    private String preferredSide;

    private int sends;

    private int failures;

    private SideConnection side;

    private boolean receiptReceived;

    private long receiptDueNanos;

    private long retryAtNanos;

    private long delivered;

    private boolean streamOpened;

    private boolean mayHaveRun;

    private Refusal lastRefusal;

    private AnswerHeadFrame head;

    private String streamVersion = "";

    PendingRequest(CallerRequest request, long arrivedNanos) {
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        this.retryAtNanos = arrivedNanos;
    }

    CallerRequest request() {
        return request;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    ByteArrayOutputStream body() {
        return body;
    }

    int attempt() {
        return attempt;
    }

    /** Begin an attempt; the caller of this method sends its frame next. */
    void beginAttempt(SideConnection target, long dueNanos) {
        attempt++;
        side = target;
        receiptReceived = false;
        receiptDueNanos = dueNanos;
        head = null;
        body.reset();
        if (!request.stream()) {
            delivered = 0;
        }
    }

    /** Record that the link accepted the frame of the current attempt. */
    void attemptSent() {
        sends++;
        side.load().sent(request.priority());
    }

    /** Return the number of attempts whose frame a link accepted. */
    int sends() {
        return sends;
    }

    /**
     * Clear the side of the current attempt, either because the link rejected its frame or because the request has
     * ended.
     */
    void detachSide() {
        side = null;
    }

    /** End the current attempt and avoid its side in the following ones. */
    void endAttempt(Refusal refusal, long waitUntilNanos) {
        preferredSide = null;
        if (side != null) {
            avoided.add(side.host().name());
        }
        side = null;
        mayHaveRun |= refusal.kind() == RefusalKind.OUTCOME_UNKNOWN;
        lastRefusal = refusal;
        retryAtNanos = waitUntilNanos;
        if (refusal.reason() != RefusalReason.LEAVING) {
            failures++;
        }
    }

    /**
     * End the attempt of a non-idempotent call whose link was lost, and make its side the preferred one for the next
     * attempt: that side holds the durable claim, so only it can return the answer.
     */
    void endAndPreferSide(Refusal refusal, long waitUntilNanos) {
        String name = side.host().name();
        endAttempt(refusal, waitUntilNanos);
        avoided.remove(name);
        preferredSide = name;
    }

    /** Return the side preferred for the next attempt until the backoff has elapsed; {@code null} for any. */
    String preferredSide() {
        return preferredSide;
    }

    /** Return the number of failed attempts, excluding those refused by a draining side. */
    int failures() {
        return failures;
    }

    boolean avoids(String name) {
        return avoided.contains(name);
    }

    /** Make all runners eligible again. */
    void clearAvoided() {
        avoided.clear();
    }

    long retryAtNanos() {
        return retryAtNanos;
    }

    /** Return whether a backend server may have run an attempt that has ended. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Return why the last attempt failed; {@code null} if none has failed. */
    Refusal lastRefusal() {
        return lastRefusal;
    }

    SideConnection side() {
        return side;
    }

    boolean awaitsReceipt() {
        return side != null && !receiptReceived;
    }

    void receiptReceived() {
        receiptReceived = true;
    }

    long receiptDueNanos() {
        return receiptDueNanos;
    }

    long delivered() {
        return delivered;
    }

    void addDelivered(int units) {
        delivered += units;
    }

    AnswerHeadFrame head() {
        return head;
    }

    /**
     * Return the runner requirements of the next attempt: an open stream is resumed only on the model version that
     * opened it.
     */
    RoutingRequest routing(List<RunnerView> runners) {
        return streamVersion.isEmpty()
                ? request.routing().withAvailableVersion(runners)
                : request.routing().withVersion(streamVersion);
    }

    /** Return whether the latest answer head continues the open stream. */
    boolean continuesOpenedStream() {
        return isEventStream() && head.modelVersion().equals(streamVersion);
    }

    void headReceived(AnswerHeadFrame frame) {
        receiptReceived = true;
        head = frame;
    }

    boolean isEventStream() {
        return request.stream() && head.contentType().startsWith("text/event-stream");
    }

    boolean isStreamOpened() {
        return streamOpened;
    }

    void openStream() {
        streamOpened = true;
        mayHaveRun = true;
        streamVersion = head.modelVersion();
    }
}
