package org.arbutusstack.gateway.quarantine;

import java.util.function.Consumer;
import org.arbutusstack.gateway.runner.RunnerEntry;

/**
 * Strategy interface for finding out whether a backend server still runs. Used on the entry's event loop, which also
 * calls the listeners.
 */
@FunctionalInterface
public interface LivenessProbe {

    /**
     * Probe a backend server over a new connection.
     *
     * @param server the server
     * @param path the path of its health check
     * @param deadlineNanos the time by which the listener is called at the latest
     * @param listener called once with the result
     */
    void probe(RunnerEntry server, String path, long deadlineNanos, Consumer<Result> listener);

    /** What a probe found at the address of a server. */
    enum Result {
        /** The same incarnation answers, whatever its answer is. */
        SAME_INCARNATION,
        /**
         * A server with the same identifier answers without stating when it started, or in a way that cannot be read,
         * so that it may be the same incarnation or a later one.
         */
        SAME_IDENTIFIER,
        /** Another incarnation answers. */
        OTHER_INCARNATION,
        /** Connections are refused. */
        REFUSED,
        /** Nothing was heard, which a crash, a busy server or a broken link may explain. */
        NO_ANSWER;

        /** Return whether a server answered. */
        boolean isAnswer() {
            return this == SAME_INCARNATION || this == SAME_IDENTIFIER || this == OTHER_INCARNATION;
        }
    }
}
