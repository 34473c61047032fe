package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.arbutusstack.kernel.Assert;

/**
 * Names two runners for a request; the one with less work takes it once both have told what they have.
 *
 * <p>Answers the load of clumps of prompts of very different length that many entries send at once: two prompts of some
 * thousand tokens on one engine let all its streams pause for longer than their target, while the next engine is idle.
 * Exact knowledge of two runners spreads such prompts nearly as well as that of all.
 *
 * <p>Runners that hold the request's adapter go first, then those whose load is even with the others', ranked by
 * rendezvous hashing, so that a prompt's beginning is kept by two of them. Stateless; safe for use by any thread.
 *
 * @see PromptWindow
 */
public final class TwoChoiceSelector {

    private static final int CANDIDATES = 2;

    private final String zone;

    /**
     * Creates a selector.
     *
     * @param zone the availability zone of the entry
     */
    public TwoChoiceSelector(String zone) {
        this.zone = Assert.notNull(zone, "zone");
    }

    /**
     * Names the candidates.
     *
     * @param request what is needed
     * @param key ranks the runners for a request without a prefix; the same for each look at the same request
     * @param runners the runners that take new work
     * @return at most two runners, the first in rank first; none if no runner holds the model
     */
    public List<RunnerView> candidates(RoutingRequest request, long key, Collection<RunnerView> runners) {
        List<RunnerView> able = runners.stream().filter(request::isServedBy).toList();
        List<RunnerView> even = RunnerRanks.evenlyLoaded(able);
        List<RunnerView> sticky = even.stream().filter(request::hasAdapterOn).toList();
        long hash = request.prefixHash() == 0 ? key : request.prefixHash();
        return (sticky.isEmpty() ? even : sticky)
                .stream()
                        .sorted(RunnerRanks.byRank(hash).reversed())
                        .limit(CANDIDATES)
                        .toList();
    }

    /**
     * Chooses between candidates.
     *
     * @param candidates one or two runners
     * @return the one with less work; at even load the one in the entry's zone, or else the first
     */
    public RunnerView better(List<RunnerView> candidates) {
        return candidates.stream()
                .min(Comparator.comparingInt(RunnerView::load)
                        .thenComparing(runner -> !runner.zone().equals(zone)))
                .orElseThrow(() -> new IllegalArgumentException("candidates must not be empty"));
    }
}
