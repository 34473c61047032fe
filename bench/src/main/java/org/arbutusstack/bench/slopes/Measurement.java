package org.arbutusstack.bench.slopes;

import java.util.Map;
import org.arbutusstack.bench.process.ProcessUse;

/**
 * Measurement of a daemon at one size.
 *
 * @param size the size of the deployment, in the unit of the slope case
 * @param use the resource use of the daemon
 * @param more further values by name, such as counters per second
 * @param machineLoad the load average of the machine at the end of the measurement
 */
record Measurement(int size, ProcessUse use, Map<String, Double> more, double machineLoad) {}
