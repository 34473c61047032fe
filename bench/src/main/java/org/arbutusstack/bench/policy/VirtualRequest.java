package org.arbutusstack.bench.policy;

import org.arbutusstack.bench.load.Arrival;

/**
 * Holds a request that waits or runs.
 *
 * @param arrival the request
 * @param modelKey the key of its model
 * @param adapterKey the key of its adapter; empty for none
 * @param deadlineNanos the instant at which its time is up
 */
record VirtualRequest(Arrival arrival, String modelKey, String adapterKey, long deadlineNanos) {

    String model() {
        return modelKey.substring(0, modelKey.indexOf('@'));
    }
}
