package org.arbutusstack.bench.slopes;

import java.util.Map;
import org.arbutusstack.bench.process.ProcessUse;

/**
 * Holds what was measured at one size.
 *
 * @param size the size
 * @param use what the daemon used
 * @param more further values by name
 * @param machineLoad the machine's load of the last minute at the end
 */
record Measurement(int size, ProcessUse use, Map<String, Double> more, double machineLoad) {}
