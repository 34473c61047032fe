package org.arbutusstack.gateway.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;

/**
 * Keeps the requests in hand, sends them to runners, tries again where that is safe, and answers each caller once.
 *
 * <p>What a refused caller is told follows from the facts of all attempts: only a request of which no byte was sent, or
 * of which each runner said that it did not run it, did not run. Used by the entry's loop only.
 *
 * @see RunnerChooser
 */
public final class RequestDesk {

    /** When a caller may come back to reach another entry. */
    private static final long LEAVING_MILLIS = 50;

    /** The time that a plain request may need: over twice the longest target that users name for one. */
    private static final long SHORT_MILLIS = 1_000;

    private final RunnerChooser chooser;

    private final RunnerPort runnerPort;

    private final AnswerRelay relay;

    private final CallerPort callers;

    private final Clock clock;

    private final RetryLimits limits;

    private final GatewayMetrics metrics;

    private final DecisionLog log;

    private final Set<ActiveRequest> inHand = new LinkedHashSet<>();

    /** Those in hand that are not at a runner. */
    private final Set<ActiveRequest> waiting = new LinkedHashSet<>();

    private final RetryBudgets retries;

    private final ModelWaits modelWaits;

    private final LoadForecast loadForecast;

    /** Until when requests that end soon are taken though this entry is leaving. */
    private long shortUntilNanos;

    private boolean leaving;

    /**
     * Creates a desk.
     *
     * @param chooser chooses runners
     * @param runnerPort sends to runners
     * @param callers writes to callers
     * @param clock the clock of the process
     * @param limits bounds the retries
     * @param metrics counts and times the requests
     */
    RequestDesk(
            RunnerChooser chooser,
            RunnerPort runnerPort,
            CallerPort callers,
            Clock clock,
            RetryLimits limits,
            GatewayMetrics metrics) {
        this.chooser = Assert.notNull(chooser, "chooser");
        this.runnerPort = Assert.notNull(runnerPort, "runnerPort");
        this.callers = Assert.notNull(callers, "callers");
        this.clock = Assert.notNull(clock, "clock");
        this.limits = Assert.notNull(limits, "limits");
        this.metrics = Assert.notNull(metrics, "metrics");
        this.log = new DecisionLog(clock);
        this.retries = new RetryBudgets(limits);
        this.modelWaits = new ModelWaits(clock);
        this.loadForecast = new LoadForecast(clock);
        this.relay = new AnswerRelay(this, runnerPort, callers, clock, metrics);
    }

    /**
     * Takes a new configuration.
     *
     * @param next the configuration
     */
    public void config(ServingConfig next) {
        loadForecast.config(next);
    }

    /**
     * Takes a request.
     *
     * @param request the request
     * @param response takes its answer
     */
    public void arrived(InboundRequest request, ResponseSink response) {
        ActiveRequest active = new ActiveRequest(request, response);
        retries.of(request.service()).requestArrived();
        inHand.add(active);
        response.onClose(() -> callerGone(active));
        if (leaving && !endsBeforeLeave(request)) {
            refuse(active, leavingRefusal(), LEAVING_MILLIS);
            return;
        }
        route(active);
    }

    /** Streams may outlast the process; a plain request is answered soon, or told the truth when the process ends. */
    private boolean endsBeforeLeave(InboundRequest request) {
        return !request.route().kind().isStreaming() && !clock.isPast(shortUntilNanos);
    }

    /**
     * Learns how many entries share the reserve of retries.
     *
     * @param count the entries
     */
    public void entries(int count) {
        retries.entries(count);
    }

    /**
     * Counts the requests in hand.
     *
     * @return their number
     */
    public int size() {
        return inHand.size();
    }

    private void route(ActiveRequest active) {
        if (active.isEnded() || active.attempt() != null) {
            return;
        }
        waiting.add(active);
        InboundRequest request = active.request();
        if (clock.isPast(request.deadlineNanos())) {
            expire(active);
            return;
        }
        RunnerChooser.Choice choice = chooser.choose(active);
        active.awaitsModel(choice instanceof RunnerChooser.Choice.AwaitModel);
        if (leaving && !(choice instanceof RunnerChooser.Choice.Send)) {
            refuse(active, leavingRefusal(), LEAVING_MILLIS);
            return;
        }
        if (choice instanceof RunnerChooser.Choice.Send send) {
            send(active, send.runner());
        } else if (choice instanceof RunnerChooser.Choice.AskRunners question) {
            active.asked();
            question.runners().forEach(KnownRunner::requestStatus);
        } else if (choice instanceof RunnerChooser.Choice.AwaitAdapter await) {
            awaitAdapter(active, await.runner());
        } else if (choice instanceof RunnerChooser.Choice.Crowded crowded) {
            String detail = "the runners of the model would begin after " + crowded.firstEventMillis() + " ms";
            long returnMillis = limits.spreadReturnMillis(request.id());
            modelWaits.crowdedOut(request, returnMillis);
            refuse(active, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail), returnMillis);
        } else if (choice instanceof RunnerChooser.Choice.AwaitModel) {
            awaitModel(active);
        } else if (choice instanceof RunnerChooser.Choice.NoRunner) {
            String detail = "no runner of the service takes work";
            refuse(active, Refusal.notRun(RefusalReason.NO_RUNNER, detail), limits.returnMillis());
        }
    }

    /** Lets a request wait for a load that ends before its caller leaves; sends others away until it has ended. */
    private void awaitModel(ActiveRequest active) {
        InboundRequest request = active.request();
        long loadMillis = chooser.loadMillis(request, loadForecast);
        long patienceUntilNanos = request.arrivedNanos() + request.route().patienceMillis() * Clock.NANOS_PER_MILLI;
        long leftMillis = Math.min(clock.millisUntil(patienceUntilNanos), clock.millisUntil(request.deadlineNanos()));
        if (loadMillis >= leftMillis) {
            modelWaits.sentAway(request, loadMillis);
            String detail = "no runner holds the model, and a load ends after the caller has left";
            refuse(active, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail), loadMillis);
        }
    }

    private void awaitAdapter(ActiveRequest active, KnownRunner runner) {
        boolean stillAwaited = active.adapterRunner() != null && !clock.isPast(active.adapterUntilNanos());
        if (stillAwaited && active.adapterRunner().takesWork()) {
            return;
        }
        InboundRequest request = active.request();
        runner.reportAdapterUse(request.model(), request.adapter());
        active.awaitAdapter(runner, clock.deadlineNanos(limits.adapterMillis()));
    }

    private void send(ActiveRequest active, KnownRunner runner) {
        InboundRequest request = active.request();
        CurrentAttempt attempt = new CurrentAttempt(relay, active, runner, clock.nowNanos());
        active.begin(attempt);
        waiting.remove(active);
        runner.recordSent(request.tokensToRead());
        if (!request.adapter().isEmpty()) {
            runner.reportAdapterUse(request.model(), request.adapter());
        }
        log.sent(active, runner);
        String lastEventId = active.isOpened() ? active.events().lastEventId() : "";
        attempt.handle(runnerPort.send(runner.entry(), request, lastEventId, request.deadlineNanos(), attempt));
    }

    /** Ends a request whose answer was passed on whole. */
    void answered(ActiveRequest active, String outcome) {
        log.answered(active);
        active.attemptDone();
        end(active, outcome);
    }

    /** Ends an attempt without a whole answer, and tries again or tells the caller. */
    void failed(ActiveRequest active, Refusal refusal) {
        KnownRunner runner = active.attempt() == null ? null : active.attempt().runner();
        active.attemptEnded(refusal);
        if (mayTryAgain(active, refusal)) {
            log.retried(active, runner, refusal);
            metrics.retried(active.request(), refusal.reason());
            route(active);
        } else if (active.failedAnswer() != null && !active.isOpened()) {
            log.refused(active, refusal);
            relay.answer(active, active.failedAnswer());
        } else {
            refuse(active, refusal, limits.returnMillis());
        }
    }

    private boolean mayTryAgain(ActiveRequest active, Refusal refusal) {
        InboundRequest request = active.request();
        boolean safe = refusal.kind().mayRepeat(request.route().mayRepeat());
        boolean permitted = active.runs() < request.route().mostAttempts() && active.sends() < limits.mostSends();
        if (!safe || !permitted || clock.isPast(request.deadlineNanos())) {
            return false;
        }
        boolean unsent = refusal.kind() == RefusalKind.NOT_RUN && refusal.reason() == RefusalReason.BACKEND_LOST;
        return unsent || retries.of(request.service()).tryTake();
    }

    private void refuse(ActiveRequest active, Refusal refusal, long retryAfterMillis) {
        Refusal truth = refusal.afterAttempts(active.maybeRan());
        log.refused(active, truth);
        end(active, truth.kind().label() + '-' + truth.reason().label());
        if (active.isOpened()) {
            active.response().abort();
        } else {
            callers.refuse(active.response(), active.request().id(), truth, retryAfterMillis);
        }
    }

    private void end(ActiveRequest active, String outcome) {
        active.ended();
        inHand.remove(active);
        waiting.remove(active);
        metrics.ended(active.request(), outcome);
    }

    private void callerGone(ActiveRequest active) {
        if (active.isEnded()) {
            return;
        }
        CurrentAttempt attempt = active.attempt();
        boolean mustFinish = !active.request().route().kind().isStreaming()
                && !active.request().route().mayRepeat();
        if (attempt != null && attempt.isStuck(clock.nowNanos())) {
            attempt.runner().outcomes().failed();
        }
        if (attempt != null && mustFinish) {
            attempt.orphan();
        } else if (attempt != null) {
            attempt.cancel();
        }
        log.callerGone(active);
        active.attemptDone();
        end(active, "caller-gone");
    }

    /**
     * Refuses what waits and takes no more streams, since this entry is leaving and others can serve them.
     *
     * @param endNanos when the process ends at the latest
     */
    public void leave(long endNanos) {
        leaving = true;
        shortUntilNanos = endNanos - SHORT_MILLIS * Clock.NANOS_PER_MILLI;
        for (ActiveRequest active : new ArrayList<>(inHand)) {
            if (active.attempt() == null) {
                refuse(active, leavingRefusal(), LEAVING_MILLIS);
            }
        }
    }

    private static Refusal leavingRefusal() {
        return Refusal.notRun(RefusalReason.LEAVING, "this entry is leaving");
    }

    /** Ends all that is still in hand, so that each caller is told before the process ends. */
    public void endAll() {
        for (ActiveRequest active : new ArrayList<>(inHand)) {
            if (active.attempt() != null) {
                active.attempt().cancel();
                String detail = "this entry had to end before the answer";
                active.attemptEnded(Refusal.outcomeUnknown(RefusalReason.LEAVING, detail));
            }
            refuse(active, active.lastRefusal() == null ? leavingRefusal() : active.lastRefusal(), 0);
        }
    }

    /** Ends what is past its deadline and looks again after what waits. */
    public void tick() {
        for (ActiveRequest active : new ArrayList<>(inHand)) {
            if (clock.isPast(active.request().deadlineNanos())) {
                expire(active);
            }
        }
        runnersChanged();
        metrics.inHand(inHand.size(), waiting.size());
    }

    /** Looks after all that waits, since the runners known have changed. */
    public void runnersChanged() {
        new ArrayList<>(waiting).forEach(this::route);
    }

    /**
     * Looks after what waits for a runner, since its state has changed.
     *
     * @param runner the runner
     */
    public void runnerChanged(KnownRunner runner) {
        for (ActiveRequest active : new ArrayList<>(waiting)) {
            InboundRequest request = active.request();
            if (request.service().equals(runner.entry().service()) && runner.holds(request.model())) {
                route(active);
            }
        }
    }

    private void expire(ActiveRequest active) {
        CurrentAttempt attempt = active.attempt();
        if (attempt == null && active.failedAnswer() != null && !active.isOpened()) {
            relay.answer(active, active.failedAnswer());
            return;
        }
        if (attempt != null) {
            attempt.cancel();
            String detail = "the deadline passed before the answer";
            active.attemptEnded(Refusal.outcomeUnknown(RefusalReason.DEADLINE_PASSED, detail));
            refuse(active, active.lastRefusal(), 0);
            return;
        }
        String detail = "no runner that holds the model could take the request in time";
        refuse(active, Refusal.notRun(RefusalReason.NO_RUNNER, detail), limits.returnMillis());
    }

    /**
     * Lists the requests in hand for models.
     *
     * @param service the service
     * @return the requests by model
     */
    public Map<String, ModelUse> modelUse(String service) {
        Map<String, ModelUse> uses = new HashMap<>();
        for (ActiveRequest active : inHand) {
            InboundRequest request = active.request();
            if (request.service().equals(service) && request.needsModel()) {
                uses.merge(request.model(), new ModelUse(1, active.awaitsModel() ? 1 : 0), ModelUse::plus);
            }
        }
        modelWaits.expected(service).forEach((model, use) -> uses.merge(model, use, ModelUse::plus));
        return uses;
    }

    /**
     * Lists what is in hand, for the dump of the process's state.
     *
     * @return one line for each request
     */
    public List<String> describe() {
        return inHand.stream().map(DecisionLog::describe).toList();
    }
}
