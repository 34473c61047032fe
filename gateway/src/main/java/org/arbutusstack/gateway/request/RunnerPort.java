package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.runner.RunnerEntry;

/**
 * Strategy interface for sending requests to runners. Used on the entry's event loop, which also calls the listeners.
 */
public interface RunnerPort {

    /**
     * Send a request.
     *
     * @param runner the runner
     * @param request the request
     * @param lastEventId the identifier of the event after which a stream is resumed; empty to start it
     * @param deadlineNanos the time at which the runner stops working on the request
     * @param newConnection whether to use a new connection, on which no earlier answer can be repeated
     * @param listener called with the answer
     * @return the attempt
     */
    Attempt send(
            RunnerEntry runner,
            InboundRequest request,
            String lastEventId,
            long deadlineNanos,
            boolean newConnection,
            AnswerListener listener);

    /**
     * Close the idle connections to a runner that has been replaced.
     *
     * @param runner the runner
     */
    void closeIdleConnections(RunnerEntry runner);

    /** Handle for cancelling an attempt. */
    @FunctionalInterface
    interface Attempt {

        /** Close the connection of the attempt, which informs the runner that its answer is no longer needed. */
        void cancel();

        /**
         * Return how much of the body of the request the runner's connection has not taken.
         *
         * @return the number of bytes; zero once the body was sent or the attempt has ended
         */
        default long unsentBytes() {
            return 0;
        }
    }
}
