package org.arbutusstack.placement;

import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Holds what an engine reported of its memory, taken at one instant. Immutable.
 *
 * @param askedAtNanos when the engine was asked; the account is not older
 * @param sizeMb the size of the memory, in mebibytes
 * @param fence the highest fencing number that the engine has seen, zero if it keeps none
 * @param residents what it holds, by name and version joined by an at sign
 */
public record EngineMemoryReport(long askedAtNanos, long sizeMb, long fence, Map<String, Resident> residents) {

    /** Copies the map. */
    public EngineMemoryReport {
        Assert.atLeast(sizeMb, 0, "sizeMb");
        residents = Map.copyOf(residents);
    }

    /**
     * Describes a model or adapter in the memory.
     *
     * @param memoryMb the memory that it takes, in mebibytes
     * @param ready whether it answers requests
     * @param adapter whether it is an adapter
     */
    public record Resident(long memoryMb, boolean ready, boolean adapter) {}
}
