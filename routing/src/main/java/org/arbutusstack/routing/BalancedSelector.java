package org.arbutusstack.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.arbutusstack.kernel.Assert;

/**
 * Sends requests with the same adapter or prompt prefix to the same runners as long as the load stays even.
 *
 * <p>Runners that hold the request's adapter go first. Among those, a prefix ranks the runners by rendezvous hashing
 * and the first one within the bound takes the request; without a prefix the better of two random runners does, so that
 * entries which see the same old reports do not all choose the same one. A runner is within the bound if its load is at
 * most a quarter and a few requests above the mean of all that hold the model. The entry's own availability zone breaks
 * ties. To be used by one thread.
 *
 * @see RunnerSelector
 */
public final class BalancedSelector implements RunnerSelector {

    private final String zone;

    private final SplittableRandom random;

    /**
     * Creates a selector.
     *
     * @param zone the availability zone of the entry
     * @param seed the seed of what is left to chance
     */
    public BalancedSelector(String zone, long seed) {
        this.zone = Assert.notNull(zone, "zone");
        this.random = new SplittableRandom(seed);
    }

    @Override
    public Optional<RunnerView> select(RoutingRequest request, Collection<RunnerView> runners) {
        List<RunnerView> able = runners.stream().filter(request::isServedBy).toList();
        if (able.size() <= 1) {
            return able.stream().findFirst();
        }
        List<RunnerView> within = RunnerRanks.evenlyLoaded(able);
        List<RunnerView> sticky = within.stream().filter(request::hasAdapterOn).toList();
        List<RunnerView> choice = sticky.isEmpty() ? within : sticky;
        return Optional.of(request.prefixHash() == 0 ? betterOfTwo(choice) : firstByRank(request, choice));
    }

    private static RunnerView firstByRank(RoutingRequest request, List<RunnerView> choice) {
        return choice.stream().max(RunnerRanks.byRank(request.prefixHash())).orElseThrow();
    }

    private RunnerView betterOfTwo(List<RunnerView> choice) {
        RunnerView first = choice.get(random.nextInt(choice.size()));
        RunnerView second = choice.get(random.nextInt(choice.size()));
        int difference = first.load() - second.load();
        if (difference == 0) {
            return first.zone().equals(zone) ? first : second;
        }
        return difference < 0 ? first : second;
    }
}
