package org.arbutusstack.side;

/**
 * Snapshot of the work of a side.
 *
 * @param queued the number of queued requests
 * @param queuedBytes the size of their bodies, in bytes
 * @param running the number of running requests
 * @param slots the maximum number of running requests
 * @param suspects the number of digests of requests that were in flight when an engine was lost
 * @param claimChangesWaiting the number of claims and outcomes that are not recorded yet
 */
record WorkStatus(int queued, long queuedBytes, int running, int slots, int suspects, int claimChangesWaiting) {

    /** The status before the first request. */
    static final WorkStatus EMPTY = new WorkStatus(0, 0, 0, 0, 0, 0);
}
