package org.arbutusstack.bench.load;

/** The ways in which the demand changes over time. */
public enum Scenario {
    /** Each model keeps its share. One fifth of the requests are bulk requests, behind interactive ones. */
    STEADY {
        @Override
        double burstShare(double elapsedShare) {
            return 0;
        }
    },
    /** Halfway through the trace each model suddenly takes the share of another model. */
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
    /**
     * In the middle third of the trace two models receive half of all requests, such as when many squads order at the
     * same time or when a hall opens its gate.
     */
    BURST {
        @Override
        double burstShare(double elapsedShare) {
            return elapsedShare >= THIRD && elapsedShare < 2 * THIRD ? HALF : 0;
        }
    };

    private static final double HALF = 0.5;

    private static final double THIRD = 1.0 / 3;

    /** Return the share of the requests that go to the models of the burst, from zero to one. */
    abstract double burstShare(double elapsedShare);

    /** Return whether the models have exchanged their shares. */
    boolean hasShifted(double elapsedShare) {
        return false;
    }
}
