package org.arbutusstack.gateway.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.PermitClient;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.routing.QuarantineRule;

/**
 * Dispatcher that sends requests to runners, retries failed attempts where safe, and answers each caller exactly once.
 *
 * <p>A refusal takes all attempts into account: a request is reported as not run only if no byte of it was sent or each
 * runner stated that it did not run it. Confined to the entry's event loop.
 *
 * @see RunnerChooser
 */
public final class RequestDispatcher {

    private final RunnerChooser chooser;

    private final RunnerPort runnerPort;

    private final AnswerRelay relay;

    private final CallerPort callers;

    private final Clock clock;

    private final RetryLimits limits;

    private final PermitClient permits;

    private final GatewayMetrics metrics;

    private final DecisionLog log;

    private final RequestQuarantine quarantine;

    private final Set<ActiveRequest> inFlight = new LinkedHashSet<>();

    /** Requests in flight without an attempt in progress. */
    private final WaitingRequests waiting;

    private final RetryBudgets retries;

    private final ModelDemand modelDemand;

    private final DrainState drainState;

    private final TeamAdmission admission;

    private final RequestSteps steps;

    /**
     * Create a dispatcher: the chooser chooses the runner for each attempt, the ports send requests to runners and
     * write answers and refusals to callers, the clock is that of the process, the limits are those on what is sent to
     * runners, and the quarantine keeps requests from runners that they would crash.
     */
    RequestDispatcher(
            RunnerChooser chooser,
            PromptAdmission admission,
            RunnerPort runnerPort,
            CallerPort callers,
            Clock clock,
            AttemptLimits limits,
            GatewayMetrics metrics,
            RequestQuarantine quarantine) {
        this.chooser = Assert.notNull(chooser, "chooser");
        this.waiting = new WaitingRequests(admission, clock);
        this.runnerPort = Assert.notNull(runnerPort, "runnerPort");
        this.callers = Assert.notNull(callers, "callers");
        this.clock = Assert.notNull(clock, "clock");
        this.limits = limits.retries();
        this.permits = limits.permits();
        this.metrics = Assert.notNull(metrics, "metrics");
        this.log = new DecisionLog(clock);
        this.quarantine = Assert.notNull(quarantine, "quarantine");
        this.retries = new RetryBudgets(this.limits, clock);
        this.modelDemand = new ModelDemand(chooser, clock);
        this.drainState = new DrainState(clock);
        this.admission = new TeamAdmission(limits.allotments(), this::route, this::refuse);
        this.steps = new RequestSteps(this::refuse);
        this.relay = new AnswerRelay(this, steps, runnerPort, callers, clock, limits, metrics, log, quarantine);
    }

    /**
     * Apply a new configuration.
     *
     * @param next the configuration; the load forecast uses its engine models
     */
    public void config(ServingConfig next) {
        modelDemand.config(next);
        waiting.config(next);
    }

    /**
     * Accept a request and send it to a runner, hold it until one can take it, or refuse it.
     *
     * @param request the request
     * @param response receives the answer or the refusal
     */
    public void submit(InboundRequest request, ResponseSink response) {
        ActiveRequest active = new ActiveRequest(request, response);
        retries.of(request.service()).requestArrived();
        inFlight.add(active);
        response.onClose(() -> callerDisconnected(active));
        if (!drainState.accepts(request)) {
            refuse(active, DrainState.refusal(), DrainState.RETRY_AFTER_MILLIS);
            return;
        }
        steps.run(active, () -> admission.submit(active));
    }

    /**
     * Set the number of entries that share the retry reserve.
     *
     * @param count the number of entries
     */
    public void entries(int count) {
        retries.entries(count);
    }

    /**
     * Return the number of requests in flight.
     *
     * @return the number of requests that have not been answered
     */
    public int size() {
        return inFlight.size();
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
        Optional<QuarantineRule> rule = quarantine.ruleFor(active);
        if (rule.isPresent()) {
            refuse(
                    active,
                    quarantine.refusalBy(rule.get()),
                    clock.millisUntil(rule.get().expiresAtNanos()));
            return;
        }
        if (!drainState.isDraining() && waiting.mustYield(active)) {
            hold(active, true);
            return;
        }
        RunnerChooser.Choice choice = chooser.choose(active);
        hold(active, choice instanceof RunnerChooser.Choice.AwaitRoom);
        active.awaitsModel(choice instanceof RunnerChooser.Choice.AwaitModel);
        if (drainState.isDraining() && !(choice instanceof RunnerChooser.Choice.Send)) {
            refuse(active, DrainState.refusal(), DrainState.RETRY_AFTER_MILLIS);
            return;
        }
        if (choice instanceof RunnerChooser.Choice.Send send && quarantine.maySend(active)) {
            send(active, send.runner());
        } else if (choice instanceof RunnerChooser.Choice.QueryStatus query) {
            active.countStatusQuery();
            query.runners().forEach(KnownRunner::requestStatus);
        } else if (choice instanceof RunnerChooser.Choice.AwaitPermit await) {
            permits.request(await.runners());
        } else if (choice instanceof RunnerChooser.Choice.AwaitAdapter await) {
            awaitAdapter(active, await.runner());
        } else if (choice instanceof RunnerChooser.Choice.AtCapacity atCapacity && !awaitGap(active, atCapacity)) {
            String detail = "the runners that can serve it would begin after " + atCapacity.firstEventMillis() + " ms";
            long spreadMillis = limits.spreadRetryAfterMillis(request.id());
            long retryAfterMillis = Math.max(spreadMillis, atCapacity.retryAfterMillis());
            modelDemand.addRefusedAtCapacity(request, retryAfterMillis);
            refuse(active, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail), retryAfterMillis);
        } else if (choice instanceof RunnerChooser.Choice.AwaitModel) {
            awaitModel(active);
        } else if (choice instanceof RunnerChooser.Choice.NoRunner none) {
            refuse(active, Refusal.notRun(RefusalReason.NO_RUNNER, none.detail()), limits.retryAfterMillis());
        }
    }

    /** Let a request wait that cannot be in time any more, unless no gap is expected or the runners name a limit. */
    private boolean awaitGap(ActiveRequest active, RunnerChooser.Choice.AtCapacity atCapacity) {
        active.awaitsGap(atCapacity.retryAfterMillis() == 0 && waiting.mayAwaitGap(active));
        return active.awaitsGap();
    }

    private void hold(ActiveRequest active, boolean held) {
        if (active.heldForRoom(held)) {
            metrics.room().countHeldForRoom(active.request());
        }
    }

    /** Await a load expected before the caller times out; else refuse, with the expected load time as Retry-After. */
    private void awaitModel(ActiveRequest active) {
        modelDemand.loadBeyondPatienceMillis(active).ifPresent(loadMillis -> {
            modelDemand.addAwaitingModel(active.request(), loadMillis);
            String detail = "no runner holds the model, and a load ends after the caller has left";
            refuse(active, Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail), loadMillis);
        });
    }

    private void awaitAdapter(ActiveRequest active, KnownRunner runner) {
        boolean loadPending = active.adapterRunner() != null && !clock.isPast(active.adapterDeadlineNanos());
        if (loadPending && active.adapterRunner().takesWork()) {
            return;
        }
        InboundRequest request = active.request();
        runner.reportAdapterUse(request.model(), request.adapter());
        active.awaitAdapter(runner, clock.deadlineNanos(limits.adapterLoadTimeoutMillis()));
    }

    private void send(ActiveRequest active, KnownRunner runner) {
        InboundRequest request = active.request();
        CurrentAttempt attempt = new CurrentAttempt(relay, active, runner, clock.nowNanos());
        active.beginAttempt(attempt);
        waiting.recordSent(active);
        runner.recordSent(request.prefillTokens());
        if (!request.adapter().isEmpty()) {
            runner.reportAdapterUse(request.model(), request.adapter());
        }
        log.sent(active, runner);
        quarantine.attemptSent(active, runner);
        metrics.countSend(active, runner);
        String lastEventId = active.isOpened() ? active.events().lastId() : "";
        boolean sentBefore = active.hasFailedOn(runner.entry().id());
        attempt.handle(
                runnerPort.send(runner.entry(), request, lastEventId, request.deadlineNanos(), sentBefore, attempt));
    }

    /** Bind the rest of a stream to the version of the runner that has sent its first event. */
    void streamBegun(ActiveRequest active, KnownRunner runner) {
        chooser.streamBegun(active, runner);
    }

    /** End a request whose answer was relayed completely. */
    void complete(ActiveRequest active, String outcome) {
        log.answered(active, metrics);
        active.releaseAttempt();
        end(active, outcome);
    }

    /** End an attempt without a complete answer, and retry the request or answer its caller. */
    void retryOrRefuse(ActiveRequest active, Refusal refusal) {
        KnownRunner runner = active.attempt() == null ? null : active.attempt().runner();
        active.attemptFailed(refusal);
        if (retries.mayRetry(active, refusal)) {
            log.retried(active, runner, refusal);
            metrics.countRetry(active.request(), refusal.reason());
            route(active);
        } else if (active.failedAnswer() != null && !active.isOpened()) {
            log.refused(active, refusal);
            relay.relayAnswer(active, active.failedAnswer());
        } else {
            refuse(active, refusal, limits.retryAfterMillis());
        }
    }

    private void refuse(ActiveRequest active, Refusal refusal, long retryAfterMillis) {
        if (active.isEnded()) {
            return;
        }
        admission.giveBackUnlessRun(active);
        Refusal reported = refusal.afterAttempts(active.mayHaveRun());
        log.refused(active, reported);
        end(active, reported.kind().label() + '-' + reported.reason().label());
        if (active.isOpened()) {
            active.response().abort();
        } else {
            callers.refuse(active.response(), active.request().id(), reported, retryAfterMillis);
        }
    }

    private void end(ActiveRequest active, String outcome) {
        active.ended();
        inFlight.remove(active);
        waiting.remove(active);
        metrics.recordOutcome(active.request(), outcome);
    }

    private void callerDisconnected(ActiveRequest active) {
        if (active.isEnded()) {
            return;
        }
        CurrentAttempt attempt = active.attempt();
        boolean mustFinish = !active.request().route().kind().isStreaming()
                && !active.request().route().mayRepeat();
        if (attempt != null && attempt.isStalled(clock.nowNanos())) {
            attempt.runner().outcomes().failed();
        }
        if (attempt != null && mustFinish) {
            attempt.detach();
        } else if (attempt != null) {
            quarantine.attemptAbandoned(active, attempt);
            attempt.cancel();
        }
        log.callerDisconnected(active);
        admission.giveBackUnlessRun(active);
        active.releaseAttempt();
        end(active, "caller-gone");
    }

    /**
     * Start draining: refuse the requests that wait and accept no more streams, since other entries can serve them.
     *
     * @param endNanos the time at which the process ends at the latest
     */
    public void startDraining(long endNanos) {
        drainState.start(endNanos);
        steps.forEach(inFlight, active -> {
            if (active.attempt() == null) {
                refuse(active, DrainState.refusal(), DrainState.RETRY_AFTER_MILLIS);
            }
        });
    }

    /** Cancel all attempts and refuse all requests in flight, so each caller is answered before the process ends. */
    public void endAll() {
        steps.forEach(inFlight, active -> {
            if (active.attempt() != null) {
                active.attempt().cancel();
                String detail = "this entry had to end before the answer";
                active.attemptFailed(Refusal.outcomeUnknown(RefusalReason.LEAVING, detail));
            }
            refuse(active, active.lastRefusal() == null ? DrainState.refusal() : active.lastRefusal(), 0);
        });
    }

    /** End requests past their deadline and route waiting requests again. */
    public void tick() {
        steps.forEach(inFlight, active -> {
            if (!active.isEnded() && clock.isPast(active.request().deadlineNanos())) {
                expire(active);
            }
        });
        runnersChanged();
        metrics.updateInFlight(inFlight.size(), waiting.size());
    }

    /** Route all waiting requests again after the set of known runners has changed. */
    public void runnersChanged() {
        steps.forEach(waiting.inOrder(), this::route);
    }

    /**
     * Route the requests that wait for a runner again after its state has changed.
     *
     * @param runner the runner
     */
    public void runnerChanged(KnownRunner runner) {
        steps.forEach(waiting.servedBy(runner), this::route);
    }

    private void expire(ActiveRequest active) {
        CurrentAttempt attempt = active.attempt();
        if (attempt == null && active.failedAnswer() != null && !active.isOpened()) {
            relay.relayAnswer(active, active.failedAnswer());
            return;
        }
        if (attempt != null) {
            attempt.cancel();
            String detail = "the deadline passed before the answer";
            active.attemptFailed(Refusal.outcomeUnknown(RefusalReason.DEADLINE_PASSED, detail));
            refuse(active, active.lastRefusal(), 0);
            return;
        }
        String detail = "no runner that holds the model could take the request in time";
        refuse(active, Refusal.notRun(RefusalReason.NO_RUNNER, detail), limits.retryAfterMillis());
    }

    /**
     * Count the requests for each model of a service: those in flight and the expected retries of refused callers.
     *
     * @param service the name of the service
     * @return the counts by model name
     */
    public Map<String, ModelRequestCount> requestsByModel(String service) {
        return modelDemand.requestsByModel(inFlight, service);
    }

    /**
     * Describe the requests in flight for the state dump of the process.
     *
     * @return one line for each request
     */
    public List<String> describe() {
        return inFlight.stream().map(DecisionLog::describe).toList();
    }
}
