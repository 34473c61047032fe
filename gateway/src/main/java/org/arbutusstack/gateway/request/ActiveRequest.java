package org.arbutusstack.gateway.request;

import java.util.HashSet;
import java.util.Set;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalKind;

/** Follows one request through its attempts. Used by the entry's loop only. */
final class ActiveRequest {

    private final InboundRequest request;

    private final ResponseSink response;

    private final EventBuffer events = new EventBuffer();

    private final StreamPace pace;

    private final Set<String> avoided = new HashSet<>();

    private CurrentAttempt attempt;

    private KnownRunner adapterRunner;

    private long adapterUntilNanos;

    private int sends;

    private int questions;

    private boolean awaitsModel;

    private int runs;

    private boolean maybeRan;

    private boolean opened;

    private boolean ended;

    private Refusal lastRefusal;

    private BufferedAnswer failedAnswer;

    ActiveRequest(InboundRequest request, ResponseSink response) {
        this.request = request;
        this.response = response;
        this.pace = new StreamPace(request);
    }

    StreamPace pace() {
        return pace;
    }

    InboundRequest request() {
        return request;
    }

    ResponseSink response() {
        return response;
    }

    EventBuffer events() {
        return events;
    }

    /** Tells the attempt under way; null if there is none. */
    CurrentAttempt attempt() {
        return attempt;
    }

    void begin(CurrentAttempt next) {
        attempt = next;
        adapterRunner = null;
        questions = 0;
        awaitsModel = false;
        sends++;
    }

    /** Ends the attempt under way and keeps what is known of it. */
    void attemptEnded(Refusal refusal) {
        if (attempt != null) {
            avoided.add(attempt.runner().entry().id());
            attempt.runner().recordEnd();
            attempt = null;
        }
        if (refusal.kind() == RefusalKind.OUTCOME_UNKNOWN) {
            maybeRan = true;
            runs++;
        }
        lastRefusal = refusal;
    }

    void attemptDone() {
        if (attempt != null) {
            attempt.runner().recordEnd();
            attempt = null;
        }
    }

    /** Takes back an attempt of which no byte was sent. */
    void neverSent() {
        sends--;
    }

    /** Counts the runners that were asked for their status since the last attempt. */
    int questions() {
        return questions;
    }

    void asked() {
        questions++;
    }

    /** Tells whether no runner held the model when a runner was last looked for. */
    boolean awaitsModel() {
        return awaitsModel;
    }

    void awaitsModel(boolean awaited) {
        awaitsModel = awaited;
    }

    int sends() {
        return sends;
    }

    /** Counts the attempts that ended and may have run. */
    int runs() {
        return runs;
    }

    boolean maybeRan() {
        return maybeRan;
    }

    boolean avoids(String runnerId) {
        return avoided.contains(runnerId);
    }

    void forgive() {
        avoided.clear();
    }

    /** Tells the runner that loads the adapter for this request; null if none does. */
    KnownRunner adapterRunner() {
        return adapterRunner;
    }

    void awaitAdapter(KnownRunner runner, long untilNanos) {
        adapterRunner = runner;
        adapterUntilNanos = untilNanos;
    }

    long adapterUntilNanos() {
        return adapterUntilNanos;
    }

    void stopAwaitingAdapter() {
        adapterRunner = null;
    }

    boolean isOpened() {
        return opened;
    }

    void opened() {
        opened = true;
        maybeRan = true;
    }

    boolean isEnded() {
        return ended;
    }

    void ended() {
        ended = true;
    }

    /** Tells why the last attempt failed; null if none has. */
    Refusal lastRefusal() {
        return lastRefusal;
    }

    /** Keeps a runner's whole answer that says it failed, in case no other attempt is made. */
    void failedAnswer(BufferedAnswer answer) {
        failedAnswer = answer;
    }

    BufferedAnswer failedAnswer() {
        return failedAnswer;
    }

    /** Holds a whole answer. */
    record BufferedAnswer(AnswerHead head, byte[] body) {}
}
