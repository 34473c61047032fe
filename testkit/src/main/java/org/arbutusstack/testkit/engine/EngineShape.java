package org.arbutusstack.testkit.engine;

/**
 * Size and speed of an engine stand-in.
 *
 * @param memoryMb the accelerator memory, in mebibytes
 * @param slots the maximum number of requests that run concurrently
 * @param stepMillis the base time of a step, which generates one token for each running request, in milliseconds
 * @param stepMicrosPerRequest the time that each running request adds to a step, in microseconds
 * @param prefillTokensPerStep the number of prompt tokens that are processed per request and step
 * @param prefixCacheEntries the capacity of the prefix cache, in prompts
 * @param checksFence whether an order with an old fencing token is refused
 * @param restartMillis the downtime after a crash, in milliseconds
 */
public record EngineShape(
        long memoryMb,
        int slots,
        long stepMillis,
        long stepMicrosPerRequest,
        int prefillTokensPerStep,
        int prefixCacheEntries,
        boolean checksFence,
        long restartMillis) {

    /** A small engine for tests and the demo. */
    public static final EngineShape SMALL = new EngineShape(80_000, 16, 5, 50, 512, 64, true, 1_000);

    /**
     * Return a copy of this shape that does or does not check fencing tokens.
     *
     * @param checks whether an order with an old fencing token is refused
     * @return the copy
     */
    public EngineShape withFenceCheck(boolean checks) {
        return new EngineShape(
                memoryMb,
                slots,
                stepMillis,
                stepMicrosPerRequest,
                prefillTokensPerStep,
                prefixCacheEntries,
                checks,
                restartMillis);
    }

    /**
     * Return a copy of this shape with another size of the accelerator memory.
     *
     * @param changedMb the memory, in mebibytes
     * @return the copy
     */
    public EngineShape withMemoryMb(long changedMb) {
        return new EngineShape(
                changedMb,
                slots,
                stepMillis,
                stepMicrosPerRequest,
                prefillTokensPerStep,
                prefixCacheEntries,
                checksFence,
                restartMillis);
    }
}
