package org.arbutusstack.gateway.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.gateway.allotment.AllotmentReceipt;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.routing.ContentKeys;
import org.arbutusstack.routing.ZoneReason;

/** A request in flight and the state of its attempts. Confined to the entry's event loop. */
final class ActiveRequest {

    private final InboundRequest request;

    private final ResponseSink response;

    private final EventSequence events;

    private final StreamProgress progress;

    private final Set<String> failedRunners = new HashSet<>();

    private CurrentAttempt attempt;

    private KnownRunner adapterRunner;

    private long adapterDeadlineNanos;

    private int sends;

    private int statusQueries;

    private boolean awaitsModel;

    private boolean heldForRoom;

    private boolean awaitsGap;

    private int possibleRuns;

    private boolean mayHaveRun;

    private boolean opened;

    /** The version of the software that made the events of the stream so far; {@code null} while it has none. */
    private String streamVersion;

    private boolean ended;

    private boolean probe;

    private Refusal lastRefusal;

    private BufferedAnswer failedAnswer;

    private List<String> contentKeys;

    private ZoneReason zoneReason;

    private AllotmentReceipt allotment;

    ActiveRequest(InboundRequest request, ResponseSink response) {
        this.request = request;
        this.response = response;
        this.progress = new StreamProgress(request);
        this.events = new EventSequence(request.route().mayRepeat() ? request.resumedEventId() : "");
    }

    StreamProgress progress() {
        return progress;
    }

    InboundRequest request() {
        return request;
    }

    /** Return when the caller leaves unless it gets an event or an answer before. */
    long callerLeavesAtNanos() {
        long patienceNanos = request.route().callerTimeoutMillis() * Clock.NANOS_PER_MILLI;
        long impatientAtNanos = progress.waitsSinceNanos() + patienceNanos;
        return impatientAtNanos - request.deadlineNanos() < 0 ? impatientAtNanos : request.deadlineNanos();
    }

    /** Return the keys of the request's content; computed once, since they include a digest of the body. */
    List<String> contentKeys() {
        if (contentKeys == null) {
            contentKeys = request.contentKeys();
        }
        return contentKeys;
    }

    /** Return the key of the whole request. */
    String requestKey() {
        return contentKeys().get(contentKeys().size() - 1);
    }

    /** Return the key of the answer to the request. */
    String answerKey() {
        return ContentKeys.ofAnswer(requestKey());
    }

    /** Return the keys of the request's content and that of the answer to it. */
    List<String> allKeys() {
        List<String> keys = new ArrayList<>(contentKeys());
        keys.add(answerKey());
        return keys;
    }

    /** Return the tokens of its team's allotment that the request has taken, or {@code null} if it has none. */
    AllotmentReceipt allotment() {
        return allotment;
    }

    void allotment(AllotmentReceipt receipt) {
        allotment = receipt;
    }

    ResponseSink response() {
        return response;
    }

    EventSequence events() {
        return events;
    }

    /** Return the attempt in progress, or {@code null} if there is none. */
    CurrentAttempt attempt() {
        return attempt;
    }

    void beginAttempt(CurrentAttempt next) {
        attempt = next;
        adapterRunner = null;
        statusQueries = 0;
        awaitsModel = false;
        sends++;
    }

    /** End the attempt in progress, record the refusal and avoid its runner in further attempts. */
    void attemptFailed(Refusal refusal) {
        awaitsGap = false;
        if (attempt != null) {
            failedRunners.add(attempt.runner().entry().id());
            attempt.end();
            attempt = null;
        }
        if (refusal.kind() == RefusalKind.OUTCOME_UNKNOWN) {
            mayHaveRun = true;
            possibleRuns++;
        }
        lastRefusal = refusal;
    }

    void releaseAttempt() {
        if (attempt != null) {
            attempt.end();
            attempt = null;
        }
    }

    /** Stop counting an attempt of which no byte was sent. */
    void undoSend() {
        sends--;
    }

    /** Return how often runners were queried for their status since the last attempt. */
    int statusQueries() {
        return statusQueries;
    }

    void countStatusQuery() {
        statusQueries++;
    }

    /** Return why the request stays in its zone or leaves it, or {@code null} if zones are not considered. */
    ZoneReason zoneReason() {
        return zoneReason;
    }

    void zoneReason(ZoneReason reason) {
        zoneReason = reason;
    }

    /** Return whether no runner held the model when the request was last routed. */
    boolean awaitsModel() {
        return awaitsModel;
    }

    void awaitsModel(boolean awaited) {
        awaitsModel = awaited;
    }

    /** Return whether no runner could begin the request in time, so that it waits for one that begins at once. */
    boolean awaitsGap() {
        return awaitsGap;
    }

    void awaitsGap(boolean awaited) {
        awaitsGap = awaited;
    }

    /** Return whether the request was held when it was last routed, since no runner had room for its prompt. */
    boolean isHeldForRoom() {
        return heldForRoom;
    }

    /** Set whether the request is held for room; return whether it was not before. */
    boolean heldForRoom(boolean held) {
        boolean begins = held && !heldForRoom;
        heldForRoom = held;
        return begins;
    }

    int sends() {
        return sends;
    }

    /** Return the number of attempts that ended and may have run the request. */
    int possibleRuns() {
        return possibleRuns;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    boolean hasFailedOn(String runnerId) {
        return failedRunners.contains(runnerId);
    }

    void clearFailedRunners() {
        failedRunners.clear();
    }

    /** Return the runner that loads the adapter for this request, or {@code null} if none does. */
    KnownRunner adapterRunner() {
        return adapterRunner;
    }

    void awaitAdapter(KnownRunner runner, long deadlineNanos) {
        adapterRunner = runner;
        adapterDeadlineNanos = deadlineNanos;
    }

    long adapterDeadlineNanos() {
        return adapterDeadlineNanos;
    }

    void stopAwaitingAdapter() {
        adapterRunner = null;
    }

    boolean isOpened() {
        return opened;
    }

    void opened() {
        opened = true;
        mayHaveRun = true;
    }

    /** Return the version of the software at which alone the stream may go on; empty while it may begin at any. */
    Optional<String> streamVersion() {
        return Optional.ofNullable(streamVersion);
    }

    void streamVersion(String version) {
        streamVersion = version;
    }

    /** Return whether the request is sent in spite of a rule of the quarantine. */
    boolean isProbe() {
        return probe;
    }

    void markProbe() {
        probe = true;
    }

    boolean isEnded() {
        return ended;
    }

    void ended() {
        ended = true;
    }

    /** Return why the last attempt failed, or {@code null} if none has. */
    Refusal lastRefusal() {
        return lastRefusal;
    }

    /** Keep a complete answer with an error status, to be relayed if no other attempt is made. */
    void failedAnswer(BufferedAnswer answer) {
        failedAnswer = answer;
    }

    BufferedAnswer failedAnswer() {
        return failedAnswer;
    }

    /** A complete answer. */
    record BufferedAnswer(AnswerHead head, byte[] body) {}
}
