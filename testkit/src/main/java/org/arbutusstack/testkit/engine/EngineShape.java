package org.arbutusstack.testkit.engine;

/**
 * States the size and speed of an engine stand-in.
 *
 * @param memoryMb the accelerator memory, in mebibytes
 * @param slots the requests that run at once
 * @param stepMillis the milliseconds of a step that gives each running request one token
 * @param stepMicrosPerRequest the microseconds that each running request adds to a step
 * @param prefillTokensPerStep the prompt tokens that one request reads in a step
 * @param prefixCacheEntries the prompts whose prefix is kept
 * @param checksFence whether an order carrying an old fencing number is refused
 * @param restartMillis how long the engine is away after a crash, in milliseconds
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
     * Changes whether fencing numbers are checked.
     *
     * @param checks whether they are
     * @return the changed shape
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
     * Changes the accelerator memory.
     *
     * @param changedMb the memory, in mebibytes
     * @return the changed shape
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
