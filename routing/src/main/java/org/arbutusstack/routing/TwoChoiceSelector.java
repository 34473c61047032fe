package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.arbutusstack.kernel.Assert;

/**
 * Selector by the power of two choices: ranks two candidate runners for a request, of which the one with less load
 * serves it once the status of both is up to date.
 *
 * <p>This avoids the effect of bursts of prompts of very different length from many entries: two prompts of several
 * thousand tokens on one engine pause all its streams for longer than their target, while the next engine is idle.
 * Exact knowledge of two runners spreads such prompts nearly as well as exact knowledge of all.
 *
 * <p>Only runners within the load bound are considered, and among these the ones that hold the adapter of the request,
 * if any. They are ranked by rendezvous hashing, so that two of them cache the prefix of a prompt. Stateless and
 * thread-safe.
 *
 * @see PromptWindow
 */
public final class TwoChoiceSelector {

    private static final int CANDIDATES = 2;

    private final String zone;

    /**
     * Create a selector.
     *
     * @param zone the availability zone of the entry
     */
    public TwoChoiceSelector(String zone) {
        this.zone = Assert.notNull(zone, "zone");
    }

    /**
     * Return the candidates for a request.
     *
     * @param request the requirements of the request
     * @param key the hash by which runners are ranked for a request without a prefix; the same for each selection for
     *     one request
     * @param runners the runners that accept new work
     * @return at most two runners, the highest rank first; empty if no runner holds the model
     */
    public List<RunnerView> candidates(RoutingRequest request, long key, Collection<RunnerView> runners) {
        List<RunnerView> eligible = runners.stream().filter(request::isServedBy).toList();
        List<RunnerView> evenlyLoaded = RendezvousRanking.withinLoadBound(eligible);
        List<RunnerView> withAdapter =
                evenlyLoaded.stream().filter(request::hasAdapterOn).toList();
        long hash = request.prefixHash() == 0 ? key : request.prefixHash();
        return (withAdapter.isEmpty() ? evenlyLoaded : withAdapter)
                .stream()
                        .sorted(RendezvousRanking.byRank(hash).reversed())
                        .limit(CANDIDATES)
                        .toList();
    }

    /**
     * Return the candidate with less load.
     *
     * @param candidates one or two runners
     * @return the runner with less load; with equal load the one in the availability zone of the entry, otherwise the
     *     first
     * @throws IllegalArgumentException if there are no candidates
     */
    public RunnerView better(List<RunnerView> candidates) {
        return candidates.stream()
                .min(Comparator.comparingInt(RunnerView::load)
                        .thenComparing(runner -> !runner.zone().equals(zone)))
                .orElseThrow(() -> new IllegalArgumentException("candidates must not be empty"));
    }
}
