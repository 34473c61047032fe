package org.arbutusstack.bench.policy;

import org.arbutusstack.bench.load.Arrival;

/**
 * A request that is queued or running.
 *
 * @param arrival the request of the trace
 * @param modelKey the key of its model, {@code name@version}
 * @param adapterKey the key of its adapter, {@code name@version}; empty for none
 * @param deadlineNanos the virtual time of its deadline, in nanoseconds
 */
record VirtualRequest(Arrival arrival, String modelKey, String adapterKey, long deadlineNanos) {

    String model() {
        return modelKey.substring(0, modelKey.indexOf('@'));
    }
}
