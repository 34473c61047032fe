package org.arbutusstack.gateway.runner;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.wire.frame.AdapterUseFrame;
import org.arbutusstack.wire.frame.RequestSentFrame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.arbutusstack.wire.link.Link;

/**
 * Follows one incarnation of a runner: what it registered, what the process beside it reports, and what this entry has
 * sent it. Used by the entry's loop only.
 */
public final class KnownRunner {

    /** The pauses between statuses after which the last one does not count any more. */
    private static final int MOST_PAUSES = 3;

    private final Clock clock;

    private final HostLiveness signs;

    private final RunnerOutcomes outcomes;

    private final RunnerSpeed speed = new RunnerSpeed(this);

    private final UnreadPrompts prompts;

    private RunnerEntry entry;

    private RunnerStatusFrame status;

    private long statusUntilNanos;

    private long loadingSinceNanos;

    private int outstanding;

    private int sentSinceStatus;

    private boolean gone;

    /** Whether the runner has denied to hold something since the holdings were read from its status. */
    private boolean forgotten;

    private Set<String> models = Set.of();

    private Set<String> adapters = Set.of();

    KnownRunner(RunnerEntry entry, Clock clock) {
        this.clock = clock;
        this.signs = new HostLiveness(clock);
        this.prompts = new UnreadPrompts(clock);
        this.outcomes = new RunnerOutcomes(this, signs, clock);
        this.statusUntilNanos = clock.nowNanos();
        entry(entry);
    }

    /**
     * Tells what the runner registered.
     *
     * @return the entry
     */
    public RunnerEntry entry() {
        return entry;
    }

    void entry(RunnerEntry next) {
        entry = next;
        refreshHoldings();
    }

    /**
     * Judges the runner by how this entry's requests ended there.
     *
     * @return the outcomes
     */
    public RunnerOutcomes outcomes() {
        return outcomes;
    }

    /**
     * Tells whether other runners are to be preferred by what all entries have seen.
     *
     * @return whether requests of any entry failed there of late
     */
    public boolean isSuspectedByFleet() {
        return hasStatus() && status.inDoubt();
    }

    /**
     * Takes a status from the process beside the runner.
     *
     * @param next the status
     * @param from the link that brought it
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
        signs.status(from, next.nextWithinMillis());
        sentSinceStatus = 0;
        prompts.update(next.promptTokens());
        statusUntilNanos = clock.deadlineNanos(MOST_PAUSES * next.nextWithinMillis());
        if (!sameHoldings || forgotten) {
            refreshHoldings();
        }
    }

    /** Asks the side for a status, unless it was asked and may still answer. */
    public void requestStatus() {
        signs.requestStatus();
    }

    /**
     * Tells whether the side was asked and has not answered in the time that it usually takes.
     *
     * @return whether another runner is to be preferred
     */
    public boolean isStatusOverdue() {
        return signs.isStatusOverdue();
    }

    private void refreshHoldings() {
        Set<String> heldModels = new HashSet<>();
        Set<String> heldAdapters = new HashSet<>();
        if (hasStatus()) {
            for (RunnerStatusFrame.HeldModel model : status.models()) {
                heldModels.add(model.name());
                model.adapters().forEach(adapter -> heldAdapters.add(adapterKey(model.name(), adapter)));
            }
        } else {
            for (Map.Entry<String, Set<String>> model : entry.adaptersByModel().entrySet()) {
                heldModels.add(model.getKey());
                model.getValue().forEach(adapter -> heldAdapters.add(adapterKey(model.getKey(), adapter)));
            }
        }
        models = Set.copyOf(heldModels);
        adapters = Set.copyOf(heldAdapters);
        forgotten = false;
    }

    /**
     * Names an adapter of a model.
     *
     * @param model the model
     * @param adapter the adapter; empty for none
     * @return the key; empty for none
     */
    public static String adapterKey(String model, String adapter) {
        return adapter.isEmpty() ? "" : model + '/' + adapter;
    }

    /**
     * Tells whether the process beside the runner has told its state a moment ago.
     *
     * @return whether it has
     */
    public boolean hasStatus() {
        return status != null && !clock.isPast(statusUntilNanos);
    }

    /**
     * Tells the last status.
     *
     * @return the status; null if there is no recent one
     */
    public RunnerStatusFrame status() {
        return hasStatus() ? status : null;
    }

    /** Forgets that a model or adapter is held, since the runner has just said that it is not. */
    public void markNotHeld(String model, String adapter) {
        forgotten = true;
        Set<String> fewer = new HashSet<>(adapter.isEmpty() ? models : adapters);
        fewer.remove(adapter.isEmpty() ? model : adapterKey(model, adapter));
        if (adapter.isEmpty()) {
            models = Set.copyOf(fewer);
        } else {
            adapters = Set.copyOf(fewer);
        }
    }

    /**
     * Tells whether the runner takes new work.
     *
     * @return whether it is neither gone nor leaving
     */
    public boolean takesWork() {
        boolean statusAllows = !hasStatus() || status.takesWork();
        return !gone && !entry.leaving() && statusAllows && !isHostUnresponsive();
    }

    /** Notes that the runner or the process beside it has sent something. */
    public void recordLiveness() {
        signs.recordLiveness();
    }

    /**
     * Tells whether a request would be sent on trust: the status is old, or one was sent since the host last gave a
     * sign of life. A status just asked for tells the present load, and keeps requests out of the buffers of a host
     * that has frozen.
     *
     * @return whether to requestStatus the side first or to take another runner
     */
    public boolean needsLivenessCheck() {
        return signs.needsLivenessCheck();
    }

    /**
     * Tells whether the whole host seems to stand still or to be cut off: the link to the process beside the runner is
     * open, or was given up for its silence, and neither an answer nor the next status comes. A process that died
     * closes its link instead, and its runner goes on.
     *
     * @return whether nothing was recordLiveness of late
     */
    public boolean isHostUnresponsive() {
        return signs.isSilent();
    }

    void sideClosed() {
        signs.sideClosed();
    }

    void sideTimedOut() {
        signs.sideTimedOut();
    }

    void markRemoved() {
        gone = true;
    }

    /** Notes that another incarnation answers at the runner's address. */
    public void markReplaced() {
        gone = true;
    }

    /**
     * Tells the process beside the runner that an adapter is used or waited for.
     *
     * @param model the model
     * @param adapter the adapter
     * @return whether it could be told
     */
    public boolean reportAdapterUse(String model, String adapter) {
        return hasStatus() && signs.send(new AdapterUseFrame(model, adapter));
    }

    /**
     * Tells the link to the process beside the runner.
     *
     * @return the link; null if none has brought a status
     */
    public Link link() {
        return signs.link();
    }

    /**
     * Counts a request sent, and tells the side of a prompt.
     *
     * @param promptTokens the tokens of the request's prompt; zero for none
     */
    public void sent(int promptTokens) {
        outcomes.sent();
        outstanding++;
        sentSinceStatus++;
        if (promptTokens > 0) {
            prompts.sent(promptTokens);
            signs.send(new RequestSentFrame(entry.startedAtMillis(), promptTokens));
        }
        signs.sent();
    }

    /** Counts a request that ended. */
    public void ended() {
        outstanding--;
        if (sentSinceStatus > 0) {
            sentSinceStatus--;
        }
    }

    /**
     * Counts the requests of this entry in flight there.
     *
     * @return their number
     */
    public int outstanding() {
        return outstanding;
    }

    /**
     * Counts the requests that run there.
     *
     * @return their number by the last status; zero if there is no recent one
     */
    public int running() {
        return hasStatus() ? status.running() : 0;
    }

    /**
     * Counts the requests there that have made no event yet, as far as this entry knows.
     *
     * @return their number
     */
    public int unstarted() {
        return (hasStatus() ? status.queued() : 0) + sentSinceStatus;
    }

    /**
     * Estimates when the runner would begin one more request.
     *
     * @return how fast the runner is
     */
    public RunnerSpeed speed() {
        return speed;
    }

    /**
     * Describes the runner for the choice between runners.
     *
     * @return the view
     */
    public RunnerView view() {
        int reported = hasStatus() ? status.queued() + status.running() + sentSinceStatus : outstanding;
        int unread = prompts.equivalentRequests();
        return new RunnerView(
                entry.id(), entry.service(), entry.zone(), models, adapters, reported + unread, outstanding + unread);
    }

    /**
     * Names the model that the runner is loading or about to load.
     *
     * @return the model; empty if it is not known to load any
     */
    public String loadingModel() {
        return hasStatus() ? status.loadingModel() : "";
    }

    /**
     * Tells since when the runner is seen to load what it loads.
     *
     * @return the instant of {@link System#nanoTime()}
     */
    public long loadingSinceNanos() {
        return loadingSinceNanos;
    }

    /**
     * Tells where the runner keeps weights that it does not hold.
     *
     * @param model the model
     * @return the place
     */
    public WeightsLocation weightsLocation(String model) {
        return hasStatus() ? WeightsLocation.ofRank(status.storedCopies().getOrDefault(model, 0)) : WeightsLocation.NONE;
    }

    /**
     * Tells whether the runner holds a model.
     *
     * @param model the model
     * @return whether it does
     */
    public boolean holds(String model) {
        return models.contains(model);
    }
}
