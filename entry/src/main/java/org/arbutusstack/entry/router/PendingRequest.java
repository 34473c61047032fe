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

/**
 * Follows one request of a caller through its attempts and keeps what is known of each. Used by the router's duty only.
 */
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

    /** Begins an attempt; its frame is sent next. */
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

    /** Notes that the link took the attempt's frame. */
    void attemptSent() {
        sends++;
        side.load().sent(request.priority());
    }

    /** Counts the attempts that a link took. */
    int sends() {
        return sends;
    }

    /** Takes back an attempt whose frame the link did not take. */
    void detachSide() {
        side = null;
    }

    /** Ends the attempt. */
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
     * Ends the attempt of a call that may not be repeated whose link was lost: the side still has the call, so that it
     * alone can give the answer, and is asked again first.
     */
    void endAndPreferSide(Refusal refusal, long waitUntilNanos) {
        String name = side.host().name();
        endAttempt(refusal, waitUntilNanos);
        avoided.remove(name);
        preferredSide = name;
    }

    /** Names the side that the next attempt goes to if it can be reached in time; null for any. */
    String preferredSide() {
        return preferredSide;
    }

    /** Counts the attempts that failed, without those that a leaving side refused. */
    int failures() {
        return failures;
    }

    boolean avoids(String name) {
        return avoided.contains(name);
    }

    /** Lets every runner be tried again. */
    void clearAvoided() {
        avoided.clear();
    }

    long retryAtNanos() {
        return retryAtNanos;
    }

    /** Tells whether a backend server may have run an attempt that ended. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Tells why the last attempt failed; null if none has. */
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

    /** Tells what the next attempt needs of a runner: an opened stream goes on with the version that opened it. */
    RoutingRequest routing(List<RunnerView> runners) {
        return streamVersion.isEmpty()
                ? request.routing().orHeldVersion(runners)
                : request.routing().withVersion(streamVersion);
    }

    /** Tells whether the answer opened last goes on with the opened stream. */
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
