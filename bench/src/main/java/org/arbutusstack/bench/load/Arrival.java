package org.arbutusstack.bench.load;

/**
 * Describes one request of a trace.
 *
 * @param atNanos when it is sent, in nanoseconds after the start of the trace
 * @param target the name of the model or adapter that it asks for
 * @param urgency the urgency of its Priority header, zero to seven
 * @param prompt its prompt
 * @param tokens the tokens that it asks for
 * @param deadlineMillis the time left to it when it is sent, in milliseconds
 */
public record Arrival(long atNanos, String target, int urgency, String prompt, int tokens, long deadlineMillis) {

    /** The urgency from which on a request counts as bulk. */
    public static final int BULK_URGENCY = 6;

    /**
     * Tells whether the request can wait its turn.
     *
     * @return whether it is bulk
     */
    public boolean isBulk() {
        return urgency >= BULK_URGENCY;
    }
}
