package org.arbutusstack.bench.slopes;

/**
 * States how long a daemon is measured.
 *
 * @param warmUpSeconds the seconds before the measurement begins
 * @param seconds the seconds of the measurement
 */
record SlopeWindow(long warmUpSeconds, long seconds) {}
