package org.arbutusstack.placement;

import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Snapshot of the accelerator memory as an engine reported it. Immutable.
 *
 * @param requestedAtNanos when the report was requested from the engine, in nanoseconds of the process clock; the
 *     report is not older
 * @param sizeMb the size of the memory, in mebibytes
 * @param fence the highest fencing token that the engine has seen; zero if it tracks none
 * @param residents the models and adapters in memory, by name and version joined by an at sign
 */
public record EngineMemoryReport(long requestedAtNanos, long sizeMb, long fence, Map<String, Resident> residents) {

    /** Copy the map defensively. */
    public EngineMemoryReport {
        Assert.atLeast(sizeMb, 0, "sizeMb");
        residents = Map.copyOf(residents);
    }

    /**
     * Model or adapter in the memory.
     *
     * @param memoryMb the memory that it takes, in mebibytes
     * @param ready whether it is loaded and serves requests
     * @param adapter whether it is an adapter
     */
    public record Resident(long memoryMb, boolean ready, boolean adapter) {}
}
