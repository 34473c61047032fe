package org.arbutusstack.bench.load;

/**
 * One request of a trace.
 *
 * @param atNanos the time at which it is sent, in nanoseconds since the start of the trace
 * @param target the name of the requested model or adapter
 * @param urgency the urgency of its Priority header, from 0 (highest) to 7
 * @param prompt the prompt
 * @param tokens the number of requested tokens
 * @param deadlineMillis the time from sending to the deadline, in milliseconds
 */
public record Arrival(long atNanos, String target, int urgency, String prompt, int tokens, long deadlineMillis) {

    /** The lowest value of the urgency at which a request is bulk. */
    public static final int BULK_URGENCY = 6;

    /**
     * Return whether the request is bulk, and not interactive.
     *
     * @return whether its urgency is at least {@link #BULK_URGENCY}
     */
    public boolean isBulk() {
        return urgency >= BULK_URGENCY;
    }
}
