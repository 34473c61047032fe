package org.arbutusstack.routing;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Ranks runners by rendezvous hashing, and tells which of them are loaded evenly. */
final class RunnerRanks {

    private static final double BOUND_FACTOR = 1.25;

    private static final int BOUND_SLACK = 2;

    private RunnerRanks() {}

    /** Keeps the runners whose load is at most a quarter and a few requests above the mean. */
    static List<RunnerView> evenlyLoaded(List<RunnerView> runners) {
        double mean = runners.stream().mapToInt(RunnerView::load).average().orElse(0);
        double bound = BOUND_FACTOR * mean + BOUND_SLACK;
        return runners.stream().filter(runner -> runner.load() <= bound).toList();
    }

    /** Orders runners by their rank for a hash, lowest first; each hash has an order of its own. */
    static Comparator<RunnerView> byRank(long hash) {
        return Comparator.<RunnerView>comparingLong(runner -> rank(hash, runner.name()))
                .thenComparing(RunnerView::name);
    }

    private static long rank(long hash, String name) {
        return new SplittableRandom(hash * 31 + name.hashCode()).nextLong();
    }
}
