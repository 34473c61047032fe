package org.arbutusstack.gateway.runner;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.wire.frame.AdapterUseFrame;
import org.arbutusstack.wire.frame.LostRequestFrame;
import org.arbutusstack.wire.frame.RequestSentFrame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.arbutusstack.wire.link.Link;

/**
 * State of one incarnation of a runner: its registration, the reports of its side, and the requests that this entry has
 * sent to it. Confined to the entry's event loop.
 */
public final class KnownRunner {

    /** Status intervals after which the last status expires. */
    private static final int MAX_MISSED_INTERVALS = 3;

    private final Clock clock;

    private final HostLiveness liveness;

    private final RunnerOutcomes outcomes;

    private final RunnerSpeed speed;

    private final RunnerLimit limit;

    private final UnreadPrompts prompts;

    private RunnerEntry entry;

    private RunnerStatusFrame status;

    private long statusExpiresAtNanos;

    private long loadingSinceNanos;

    private int outstanding;

    private int sentSinceStatus;

    private boolean removed;

    /** Whether the runner has reported a model or adapter as missing since the holdings were taken from its status. */
    private boolean holdingsCorrected;

    private Set<String> models = Set.of();

    private Set<String> adapters = Set.of();

    KnownRunner(RunnerEntry entry, Clock clock) {
        this.clock = clock;
        this.liveness = new HostLiveness(clock);
        this.prompts = new UnreadPrompts(clock);
        this.speed = new RunnerSpeed(this, liveness, prompts, clock);
        this.limit = new RunnerLimit(entry, clock);
        this.outcomes = new RunnerOutcomes(this, liveness, clock);
        this.statusExpiresAtNanos = clock.nowNanos();
        entry(entry);
    }

    /**
     * Return the runner's registration in the directory.
     *
     * @return the directory entry
     */
    public RunnerEntry entry() {
        return entry;
    }

    void entry(RunnerEntry next) {
        entry = next;
        refreshHoldings();
    }

    /**
     * Return the outcomes of this entry's requests at the runner.
     *
     * @return the outcomes and the health derived from them
     */
    public RunnerOutcomes outcomes() {
        return outcomes;
    }

    /**
     * Return whether the runner is under fleet-wide suspicion, so that other runners are preferred.
     *
     * @return whether the side reports recent failures across the requests of all entries
     */
    public boolean isSuspectedByFleet() {
        return hasStatus() && status.inDoubt();
    }

    /**
     * Apply a status reported by the runner's side; a status of another incarnation is ignored.
     *
     * @param next the status
     * @param from the link that delivered it
     */
    public void status(RunnerStatusFrame next, Link from) {
        if (next.startedAtMillis() != entry.startedAtMillis()) {
            return;
        }
        if (status == null || !next.loadingModel().equals(status.loadingModel())) {
            loadingSinceNanos = clock.nowNanos();
        }
        boolean sameHoldings = hasStatus() && next.models().equals(status.models());
        status = next;
        liveness.recordStatus(from, next.nextWithinMillis());
        sentSinceStatus = 0;
        prompts.update(next.promptTokens());
        statusExpiresAtNanos = clock.deadlineNanos(MAX_MISSED_INTERVALS * next.nextWithinMillis());
        if (!sameHoldings || holdingsCorrected) {
            refreshHoldings();
        }
    }

    /** Request a status from the side, unless a request is pending and not overdue. */
    public void requestStatus() {
        liveness.requestStatus();
    }

    /**
     * Return whether the side has not answered a status request within the usual time.
     *
     * @return whether another runner is to be preferred
     */
    public boolean isStatusOverdue() {
        return liveness.isStatusOverdue();
    }

    private void refreshHoldings() {
        Set<String> heldModels = new HashSet<>();
        Set<String> heldAdapters = new HashSet<>();
        if (hasStatus()) {
            for (RunnerStatusFrame.HeldModel model : status.models()) {
                heldModels.add(model.name());
                model.adapters().forEach(adapter -> heldAdapters.add(RunnerEntry.adapterKey(model.name(), adapter)));
            }
        } else {
            for (Map.Entry<String, Set<String>> model : entry.adaptersByModel().entrySet()) {
                heldModels.add(model.getKey());
                model.getValue().forEach(adapter -> heldAdapters.add(RunnerEntry.adapterKey(model.getKey(), adapter)));
            }
        }
        models = Set.copyOf(heldModels);
        adapters = Set.copyOf(heldAdapters);
        holdingsCorrected = false;
    }

    /**
     * Return whether the last status of the side is still valid.
     *
     * @return whether there is a status that has not expired
     */
    public boolean hasStatus() {
        return status != null && !clock.isPast(statusExpiresAtNanos);
    }

    /**
     * Return the last status of the side.
     *
     * @return the status; null if there is none or it has expired
     */
    public RunnerStatusFrame status() {
        return hasStatus() ? status : null;
    }

    /**
     * Remove a model or adapter from the holdings, since the runner has just answered that it is missing.
     *
     * @param model the name of the model
     * @param adapter the name of the adapter; empty if the model itself is missing
     */
    public void markNotHeld(String model, String adapter) {
        holdingsCorrected = true;
        Set<String> remaining = new HashSet<>(adapter.isEmpty() ? models : adapters);
        remaining.remove(adapter.isEmpty() ? model : RunnerEntry.adapterKey(model, adapter));
        if (adapter.isEmpty()) {
            models = Set.copyOf(remaining);
        } else {
            adapters = Set.copyOf(remaining);
        }
    }

    /**
     * Return whether the runner accepts new requests.
     *
     * @return whether it is registered, not draining, and its host is responsive
     */
    public boolean takesWork() {
        boolean statusAllows = !hasStatus() || status.takesWork();
        return !removed && !entry.leaving() && statusAllows && !isHostUnresponsive();
    }

    /**
     * Return the limit on requests that the runner names in its answers.
     *
     * @return the limit as this entry knows it
     */
    public RunnerLimit limit() {
        return limit;
    }

    /** Record that the runner or its side has sent something. */
    public void recordLiveness() {
        liveness.recordLiveness();
    }

    /**
     * Return whether a status has to be requested before a request is sent: the last status is outdated, or a request
     * was sent since the last liveness signal of the host. A fresh status reports the current load and keeps requests
     * out of the buffers of a frozen host.
     *
     * @return whether to query the side first or to choose another runner
     */
    public boolean needsLivenessCheck() {
        return liveness.needsLivenessCheck();
    }

    /**
     * Return whether the whole host appears to be frozen or cut off: the link to the side is open, or was closed by a
     * timeout, and neither a reply nor the next status arrives. A side that crashes closes its link instead, and its
     * runner keeps serving.
     *
     * @return whether there was no liveness signal recently
     */
    public boolean isHostUnresponsive() {
        return liveness.isUnresponsive();
    }

    void sideClosed() {
        liveness.sideClosed();
    }

    void sideTimedOut() {
        liveness.sideTimedOut();
    }

    void markRemoved() {
        removed = true;
    }

    /** Stop sending to this incarnation, since it says that it leaves or another one answers at its address. */
    public void retire() {
        removed = true;
    }

    /**
     * Report to the side that an adapter is used or waited for.
     *
     * @param model the name of the model
     * @param adapter the name of the adapter
     * @return whether the report was handed to the link
     */
    public boolean reportAdapterUse(String model, String adapter) {
        return hasStatus() && liveness.send(new AdapterUseFrame(model, adapter));
    }

    /**
     * Return the link to the runner's side.
     *
     * @return the link that delivered the last status; null if there was none
     */
    public Link link() {
        return liveness.link();
    }

    /**
     * Record a request sent to the runner, and report its prompt to the side.
     *
     * @param promptTokens the number of tokens in the request's prompt; zero for none
     */
    public void recordSent(int promptTokens) {
        outcomes.recordSent();
        limit.recordSent();
        outstanding++;
        sentSinceStatus++;
        if (promptTokens > 0) {
            prompts.recordSent(promptTokens);
            liveness.send(new RequestSentFrame(entry.startedAtMillis(), promptTokens));
        }
        liveness.recordSent();
    }

    /**
     * Report to the side that the connection of a request broke before its answer was complete.
     *
     * @param sentAgoMillis how long ago the request was sent, in milliseconds
     * @param keys the keys of its content
     * @return {@code false} if there is no side to report it to
     */
    public boolean reportLost(long sentAgoMillis, List<String> keys) {
        return liveness.send(new LostRequestFrame(entry.startedAtMillis(), sentAgoMillis, keys));
    }

    /** Record that a request has ended. */
    public void recordEnd() {
        outstanding--;
        if (sentSinceStatus > 0) {
            sentSinceStatus--;
        }
    }

    /**
     * Return the number of this entry's requests in flight at the runner.
     *
     * @return the number of requests
     */
    public int outstanding() {
        return outstanding;
    }

    /**
     * Return the number of requests that the runner is executing.
     *
     * @return the number in the last status; zero if it has expired
     */
    public int running() {
        return hasStatus() ? status.running() : 0;
    }

    /**
     * Return the number of requests at the runner that have not produced an event yet.
     *
     * @return the queued requests of the last status plus those that this entry has sent since
     */
    public int unstarted() {
        return (hasStatus() ? status.queued() : 0) + sentSinceStatus;
    }

    /**
     * Return the estimate of when the runner would start one more request.
     *
     * @return the observed speed of the runner
     */
    public RunnerSpeed speed() {
        return speed;
    }

    /**
     * Return the description of the runner that selectors rank.
     *
     * @return the view, whose loads include prompts not yet read
     */
    public RunnerView view() {
        int reported = hasStatus() ? status.queued() + status.running() + sentSinceStatus : outstanding;
        int unread = prompts.equivalentRequests();
        return new RunnerView(
                entry.id(), entry.service(), entry.zone(), models, adapters, reported + unread, outstanding + unread);
    }

    /**
     * Return the model that the runner is loading or about to load.
     *
     * @return the name of the model; empty if no load is known
     */
    public String loadingModel() {
        return hasStatus() ? status.loadingModel() : "";
    }

    /**
     * Return when the current load was first reported.
     *
     * @return the instant by {@link System#nanoTime()}
     */
    public long loadingSinceNanos() {
        return loadingSinceNanos;
    }

    /**
     * Return where the runner can load a model's weights from.
     *
     * @param model the name of the model
     * @return the location by the last status; {@link WeightsLocation#NONE} if it has expired
     */
    public WeightsLocation weightsLocation(String model) {
        return hasStatus()
                ? WeightsLocation.ofRank(status.storedCopies().getOrDefault(model, 0))
                : WeightsLocation.NONE;
    }

    /**
     * Return whether the runner holds a model.
     *
     * @param model the name of the model
     * @return whether the model is among the current holdings
     */
    public boolean holds(String model) {
        return models.contains(model);
    }
}
