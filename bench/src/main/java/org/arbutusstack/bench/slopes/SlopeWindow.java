package org.arbutusstack.bench.slopes;

/**
 * Duration of a measurement.
 *
 * @param warmUpSeconds the time before the measurement begins, in seconds
 * @param seconds the length of the measurement, in seconds
 */
record SlopeWindow(long warmUpSeconds, long seconds) {}
