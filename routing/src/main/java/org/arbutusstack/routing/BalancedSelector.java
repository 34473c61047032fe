package org.arbutusstack.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.arbutusstack.kernel.Assert;

/**
 * {@link RunnerSelector} that sends requests with the same adapter or prompt prefix to the same runners as long as the
 * load stays even.
 *
 * <p>Only runners whose load is at most a quarter plus a few requests above the mean of all runners with the model are
 * considered, and among these the ones that hold the adapter of the request, if any. With a prefix, the runner with the
 * highest rank by rendezvous hashing is selected. Without one, it is the less loaded of two random runners, so that
 * entries with the same stale reports do not all select the same one; the availability zone of the entry breaks ties.
 * Not thread-safe.
 *
 * @see RunnerSelector
 */
public final class BalancedSelector implements RunnerSelector {

    private final String zone;

    private final SplittableRandom random;

    /**
     * Create a selector.
     *
     * @param zone the availability zone of the entry
     * @param seed the seed for random choices
     */
    public BalancedSelector(String zone, long seed) {
        this.zone = Assert.notNull(zone, "zone");
        this.random = new SplittableRandom(seed);
    }

    @Override
    public Optional<RunnerView> select(RoutingRequest request, Collection<RunnerView> runners) {
        List<RunnerView> eligible = runners.stream().filter(request::isServedBy).toList();
        if (eligible.size() <= 1) {
            return eligible.stream().findFirst();
        }
        List<RunnerView> evenlyLoaded = RendezvousRanking.withinLoadBound(eligible);
        List<RunnerView> withAdapter =
                evenlyLoaded.stream().filter(request::hasAdapterOn).toList();
        List<RunnerView> candidates = withAdapter.isEmpty() ? evenlyLoaded : withAdapter;
        return Optional.of(request.prefixHash() == 0 ? betterOfTwo(candidates) : firstByRank(request, candidates));
    }

    private static RunnerView firstByRank(RoutingRequest request, List<RunnerView> candidates) {
        return candidates.stream()
                .max(RendezvousRanking.byRank(request.prefixHash()))
                .orElseThrow();
    }

    private RunnerView betterOfTwo(List<RunnerView> candidates) {
        RunnerView first = candidates.get(random.nextInt(candidates.size()));
        RunnerView second = candidates.get(random.nextInt(candidates.size()));
        int difference = first.load() - second.load();
        if (difference == 0) {
            return first.zone().equals(zone) ? first : second;
        }
        return difference < 0 ? first : second;
    }
}
