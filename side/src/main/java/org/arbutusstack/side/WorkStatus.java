package org.arbutusstack.side;

/**
 * Shows the work of a side at one moment.
 *
 * @param queued the requests that wait
 * @param queuedBytes the bytes of their bodies, in bytes
 * @param running the requests that run
 * @param slots the requests that may run at once
 * @param suspects the digests of requests that were in flight when an engine was lost
 * @param claimChangesWaiting the claims and outcomes that are not recorded yet
 */
record WorkStatus(int queued, long queuedBytes, int running, int slots, int suspects, int claimChangesWaiting) {

    /** The status before the first request. */
    static final WorkStatus EMPTY = new WorkStatus(0, 0, 0, 0, 0, 0);
}
