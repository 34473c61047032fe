package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Ledger of the accelerator memory of one runner.
 *
 * <p>The memory of a load is committed before its order is sent. It is released once a memory report of the engine no
 * longer lists the model or adapter and an {@link OrderExpiryProof} shows that no copy of the order can still take
 * effect. Answers to orders make a model ready; only memory reports release memory. Nothing is committed until the
 * orders of an earlier process have expired. Not thread-safe.
 */
public final class MemoryLedger {

    /** Low bits of a fencing token that count the orders under one grant. */
    private static final int ORDERS_PER_GRANT_BITS = 20;

    private static final long RAISE_RETRY_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    private final Map<String, Commitment> commitments = new LinkedHashMap<>();

    private final long delayLimitNanos;

    private final long startLimitNanos;

    private OrderExpiryProof proof;

    private long startedAtNanos;

    private long sizeMb;

    private long firstFence;

    private long fence;

    private long reportedFence;

    private boolean commitPermitted;

    private boolean raisePending;

    private long lastRaisedFence;

    private long lastRaisedAtNanos;

    /**
     * Create a ledger without commitments.
     *
     * @param proof the strategy for proving that an order can no longer take effect
     * @param startedAtNanos when the process started, in nanoseconds of the process clock; an earlier process sent no
     *     order after this instant
     * @param delayLimitMillis the maximum time that an order may be in flight, in milliseconds; used by {@link
     *     OrderExpiryProof#DELAY}
     * @param startLimitMillis how long memory reports may lack an ordered load before its outcome counts as undecided,
     *     in milliseconds
     */
    public MemoryLedger(OrderExpiryProof proof, long startedAtNanos, long delayLimitMillis, long startLimitMillis) {
        this.proof = Assert.notNull(proof, "proof");
        this.startedAtNanos = startedAtNanos;
        this.delayLimitNanos = Assert.atLeast(delayLimitMillis, 1, "delayLimitMillis") * Clock.NANOS_PER_MILLI;
        this.startLimitNanos = Assert.atLeast(startLimitMillis, 1, "startLimitMillis") * Clock.NANOS_PER_MILLI;
    }

    /**
     * Set the grant from which the fencing tokens of this process are derived.
     *
     * @param grant a number greater than the grant of every earlier process that controlled the engine
     */
    public void fenceGranted(long grant) {
        firstFence = Assert.atLeast(grant, 1, "grant") << ORDERS_PER_GRANT_BITS;
        fence = firstFence;
        raisePending = true;
    }

    /**
     * Return whether memory may be committed: fencing tokens were granted and the orders of an earlier process have
     * expired.
     *
     * @return {@code true} if loads and unloads may be ordered
     */
    public boolean isCommitPermitted() {
        return commitPermitted;
    }

    /**
     * Return the strategy for proving that an order can no longer take effect.
     *
     * @return the strategy in use; {@link OrderExpiryProof#DELAY} once the engine has reported a lower fencing token
     *     than before
     */
    public OrderExpiryProof proof() {
        return proof;
    }

    /**
     * Return the size of the memory.
     *
     * @return the size in mebibytes, zero before the first memory report
     */
    public long sizeMb() {
        return sizeMb;
    }

    /**
     * Return how much memory is committed.
     *
     * @return the sum in mebibytes
     */
    public long committedMb() {
        return commitments.values().stream().mapToLong(Commitment::memoryMb).sum();
    }

    /**
     * Return how much memory is committed to models.
     *
     * @return the sum in mebibytes
     */
    public long modelsMb() {
        return commitments.values().stream()
                .filter(commitment -> !commitment.isAdapter())
                .mapToLong(Commitment::memoryMb)
                .sum();
    }

    /**
     * Return whether memory can be committed now.
     *
     * @param memoryMb the amount of memory, in mebibytes
     * @return {@code true} if enough memory is free and the orders of an earlier process have expired
     */
    public boolean hasRoom(long memoryMb) {
        return commitPermitted && committedMb() + memoryMb <= sizeMb;
    }

    /**
     * Commit memory for a load whose order is about to be sent.
     *
     * @param key the key of the model or adapter to load
     * @param memoryMb the memory that it takes, in mebibytes
     * @param adapter whether it is an adapter
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the fencing token of the order; empty if nothing was committed, for lack of memory or because earlier
     *     orders for the same key may still take effect
     */
    public OptionalLong commit(String key, long memoryMb, boolean adapter, long nowNanos) {
        if (commitments.containsKey(key) || !hasRoom(memoryMb) || isExhausted()) {
            return OptionalLong.empty();
        }
        TrackedOrder load = TrackedOrder.sent(fence, nowNanos);
        commitments.put(key, new Commitment(adapter, memoryMb, ResidencyState.LOADING, load));
        return OptionalLong.of(fence);
    }

    /**
     * Record an unload whose order is about to be sent; the memory stays committed.
     *
     * @param key the key of the model or adapter to unload
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the fencing token of the order; empty if the key is neither ready nor due for a repeated unload
     */
    public OptionalLong unload(String key, long nowNanos) {
        Commitment commitment = commitments.get(key);
        boolean permitted =
                commitment != null && (commitment.state() == ResidencyState.READY || commitment.isUnloadFailed());
        if (!permitted || !commitPermitted || isExhausted()) {
            return OptionalLong.empty();
        }
        long unloadFence = ++fence;
        fence++;
        commitment.unloadSent(TrackedOrder.sent(unloadFence, nowNanos));
        return OptionalLong.of(unloadFence);
    }

    /**
     * Return the models and adapters that a memory report still listed after the call of their unload had ended.
     *
     * @return the keys whose unload has to be repeated
     */
    public Set<String> failedUnloads() {
        return commitments.entrySet().stream()
                .filter(entry -> entry.getValue().isUnloadFailed())
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Issue a higher fencing token for an order without effect on memory, if the token known to the engine has to be
     * raised.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the fencing token to send; empty if none has to be sent now
     */
    public OptionalLong raiseFence(long nowNanos) {
        if (proof != OrderExpiryProof.FENCE) {
            return OptionalLong.empty();
        }
        boolean awaitsConfirmation =
                lastRaisedFence > reportedFence && nowNanos - lastRaisedAtNanos < RAISE_RETRY_NANOS;
        if (!raisePending || awaitsConfirmation || firstFence == 0 || isExhausted()) {
            return OptionalLong.empty();
        }
        lastRaisedFence = ++fence;
        lastRaisedAtNanos = nowNanos;
        return OptionalLong.of(lastRaisedFence);
    }

    private boolean isExhausted() {
        return fence - firstFence >= (1L << ORDERS_PER_GRANT_BITS) - 2;
    }

    /**
     * Record that the call of a load ended.
     *
     * @param key the key of the model or adapter
     * @param orderFence the fencing token of the order
     * @param confirmed whether the engine confirmed the load
     * @param nowNanos the current time of the process clock, in nanoseconds
     */
    public void loadEnded(String key, long orderFence, boolean confirmed, long nowNanos) {
        Commitment commitment = commitments.get(key);
        if (commitment != null) {
            commitment.loadEnded(orderFence, confirmed, nowNanos);
        }
    }

    /**
     * Record that the call of an unload ended, whatever its outcome.
     *
     * @param key the key of the model or adapter
     * @param orderFence the fencing token of the order
     * @param nowNanos the current time of the process clock, in nanoseconds
     */
    public void unloadEnded(String key, long orderFence, long nowNanos) {
        Commitment commitment = commitments.get(key);
        if (commitment != null) {
            commitment.unloadEnded(orderFence, nowNanos);
        }
    }

    /**
     * Reconcile the ledger with a memory report: adopt what the report lists, and release what it lacks if no order can
     * still load it.
     *
     * @param report a memory report that was requested after the previous one
     * @return the keys whose commitments were released
     */
    public List<String> reconcile(EngineMemoryReport report) {
        sizeMb = report.sizeMb();
        checkFence(report);
        commitPermitted |=
                firstFence > 0 && proof.arePredecessorsExpired(firstFence, startedAtNanos, report, delayLimitNanos);
        report.residents().forEach((key, resident) -> applyResident(key, resident, report));
        List<String> released = new ArrayList<>();
        raisePending = !commitPermitted;
        for (String key : List.copyOf(commitments.keySet())) {
            if (!report.residents().containsKey(key) && releaseIfExpired(key, report)) {
                released.add(key);
            }
        }
        return released;
    }

    private void checkFence(EngineMemoryReport report) {
        if (report.fence() < reportedFence && proof == OrderExpiryProof.FENCE) {
            proof = OrderExpiryProof.DELAY;
            commitPermitted = false;
            startedAtNanos = report.requestedAtNanos();
        }
        reportedFence = Math.max(reportedFence, report.fence());
    }

    private void applyResident(String key, EngineMemoryReport.Resident resident, EngineMemoryReport report) {
        Commitment commitment = commitments.get(key);
        if (commitment != null) {
            commitment.applyResident(resident, report);
            return;
        }
        ResidencyState state = resident.ready() ? ResidencyState.READY : ResidencyState.LOADING;
        commitments.put(
                key,
                new Commitment(resident.adapter(), resident.memoryMb(), state, TrackedOrder.ofOtherProcess(report)));
    }

    private boolean releaseIfExpired(String key, EngineMemoryReport report) {
        Commitment commitment = commitments.get(key);
        if (!proof.isExpired(commitment.load(), report, delayLimitNanos)) {
            commitment.applyAbsence(report, startLimitNanos);
            raisePending |=
                    commitment.state() == ResidencyState.UNKNOWN || commitment.state() == ResidencyState.UNLOADING;
            return false;
        }
        if (!commitment.isUnloadExpired(proof, report, delayLimitNanos)) {
            commitment.markUnloaded();
            return false;
        }
        commitments.remove(key);
        return true;
    }

    /**
     * Return the state of a commitment.
     *
     * @param key the key of the model or adapter
     * @return the state, or empty if nothing is committed for it
     */
    public Optional<ResidencyState> state(String key) {
        return Optional.ofNullable(commitments.get(key)).map(Commitment::state);
    }

    /**
     * Return the models or adapters in a state.
     *
     * @param state the state
     * @param adapters whether adapters are returned instead of models
     * @return the keys in natural order
     */
    public Set<String> keys(ResidencyState state, boolean adapters) {
        return commitments.entrySet().stream()
                .filter(entry ->
                        entry.getValue().state() == state && entry.getValue().isAdapter() == adapters)
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Return whether a key denotes an adapter.
     *
     * @param key the key of the model or adapter
     * @return whether an adapter is committed under it
     */
    public boolean isAdapter(String key) {
        Commitment commitment = commitments.get(key);
        return commitment != null && commitment.isAdapter();
    }

    /**
     * Return the memory committed for a key.
     *
     * @param key the key of the model or adapter
     * @return the memory in mebibytes, zero if nothing is committed
     */
    public long memoryMb(String key) {
        Commitment commitment = commitments.get(key);
        return commitment == null ? 0 : commitment.memoryMb();
    }
}
