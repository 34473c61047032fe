package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.runner.RunnerEntry;

/** Sends work to runners; to be used on the entry's loop, which also calls the listeners. */
public interface RunnerPort {

    /**
     * Sends a request.
     *
     * @param runner the runner
     * @param request the request
     * @param lastEventId the event after which a stream goes on; empty to begin
     * @param deadlineNanos when the runner gives up
     * @param listener learns what becomes of it
     * @return the attempt
     */
    Attempt send(
            RunnerEntry runner,
            InboundRequest request,
            String lastEventId,
            long deadlineNanos,
            AnswerListener listener);

    /**
     * Closes the idle connections to a runner that is gone.
     *
     * @param runner the runner
     */
    void closeIdleConnections(RunnerEntry runner);

    /** Ends an attempt early. */
    @FunctionalInterface
    interface Attempt {

        /** Closes the connection of the attempt, by which the runner learns that nobody waits. */
        void cancel();
    }
}
