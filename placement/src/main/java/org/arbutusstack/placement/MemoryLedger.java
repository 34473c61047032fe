package org.arbutusstack.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.Assert;

/**
 * Accounts for the accelerator memory of one runner.
 *
 * <p>A load is counted from before its order is sent until it is certain that it holds no memory. To be used by one
 * thread.
 */
public final class MemoryLedger {

    private final Map<String, Commitment> commitments = new LinkedHashMap<>();

    private long sizeMb;

    /**
     * Sets the size of the memory, as the engine reports it.
     *
     * @param reportedMb the size in mebibytes
     */
    public void resize(long reportedMb) {
        sizeMb = Assert.atLeast(reportedMb, 0, "reportedMb");
    }

    /**
     * Tells the size of the memory.
     *
     * @return the size in mebibytes, zero before the engine reported it
     */
    public long sizeMb() {
        return sizeMb;
    }

    /**
     * Tells how much is committed.
     *
     * @return the sum in mebibytes
     */
    public long committedMb() {
        return commitments.values().stream().mapToLong(Commitment::memoryMb).sum();
    }

    /**
     * Commits memory for a load whose order is about to be sent.
     *
     * @param key what is loaded
     * @param memoryMb the memory that it takes, in mebibytes
     * @return {@code false} if there is no room or it is committed already; nothing is committed then
     */
    public boolean commit(String key, long memoryMb) {
        if (commitments.containsKey(key) || committedMb() + memoryMb > sizeMb) {
            return false;
        }
        commitments.put(key, new Commitment(memoryMb, ResidencyState.LOADING));
        return true;
    }

    /**
     * Adopts what the engine reports to hold, though this process did not order it.
     *
     * @param key what is held
     * @param memoryMb the memory that it takes, in mebibytes
     * @param state how far it is
     */
    public void adopt(String key, long memoryMb, ResidencyState state) {
        commitments.put(key, new Commitment(memoryMb, state));
    }

    /**
     * Changes the state of a commitment; without effect if there is none.
     *
     * @param key what is held
     * @param state how far it is
     */
    public void mark(String key, ResidencyState state) {
        commitments.computeIfPresent(key, (same, old) -> new Commitment(old.memoryMb, state));
    }

    /**
     * Releases the memory of what certainly holds none.
     *
     * @param key what was held
     */
    public void release(String key) {
        commitments.remove(key);
    }

    /**
     * Tells the state of a commitment.
     *
     * @param key what is held
     * @return the state, or empty if nothing is committed for it
     */
    public Optional<ResidencyState> state(String key) {
        return Optional.ofNullable(commitments.get(key)).map(Commitment::state);
    }

    /**
     * Lists what is in a state.
     *
     * @param state the state
     * @return the keys
     */
    public Set<String> keys(ResidencyState state) {
        return commitments.entrySet().stream()
                .filter(entry -> entry.getValue().state == state)
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(java.util.TreeSet::new));
    }

    /** Holds the memory committed for one model or adapter. */
    private record Commitment(long memoryMb, ResidencyState state) {}
}
