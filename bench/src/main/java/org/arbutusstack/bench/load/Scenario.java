package org.arbutusstack.bench.load;

/** Lists the ways in which demand moves; each constant knows the share of a burst at each moment. */
public enum Scenario {
    /** Each model keeps its share; a fifth of the requests is bulk behind interactive. */
    STEADY {
        @Override
        double burstShare(double elapsedShare) {
            return 0;
        }
    },
    /** At half time each model takes the share of another one, without warning. */
    SHIFT {
        @Override
        double burstShare(double elapsedShare) {
            return 0;
        }

        @Override
        boolean hasShifted(double elapsedShare) {
            return elapsedShare >= HALF;
        }
    },
    /** In the middle third two models get half of all requests: squads at once, the hall gate at opening time. */
    BURST {
        @Override
        double burstShare(double elapsedShare) {
            return elapsedShare >= THIRD && elapsedShare < 2 * THIRD ? HALF : 0;
        }
    };

    private static final double HALF = 0.5;

    private static final double THIRD = 1.0 / 3;

    /** Tells the share of the requests that go to the models of the burst, zero to one. */
    abstract double burstShare(double elapsedShare);

    /** Tells whether the models have changed their shares. */
    boolean hasShifted(double elapsedShare) {
        return false;
    }
}
