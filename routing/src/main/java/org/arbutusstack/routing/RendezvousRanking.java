package org.arbutusstack.routing;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Ranking of runners by rendezvous hashing, limited to runners whose load is even. */
final class RendezvousRanking {

    private static final double LOAD_BOUND_FACTOR = 1.25;

    private static final int LOAD_BOUND_SLACK = 2;

    private RendezvousRanking() {}

    /** Return the runners whose load is at most a quarter plus {@link #LOAD_BOUND_SLACK} requests above the mean. */
    static List<RunnerView> withinLoadBound(List<RunnerView> runners) {
        double mean = runners.stream().mapToInt(RunnerView::load).average().orElse(0);
        double bound = LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK;
        return runners.stream().filter(runner -> runner.load() <= bound).toList();
    }

    /** Order runners by their rank for a hash, lowest first; each hash has its own order. */
    static Comparator<RunnerView> byRank(long hash) {
        return Comparator.<RunnerView>comparingLong(runner -> rank(hash, runner.name()))
                .thenComparing(RunnerView::name);
    }

    private static long rank(long hash, String name) {
        return new SplittableRandom(hash * 31 + name.hashCode()).nextLong();
    }
}
