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
 * Accounts for the accelerator memory of one runner.
 *
 * <p>A load is counted from before its order is sent until the engine's account shows that nothing is held and an
 * {@link OrderExpiryProof} says that no copy of the order can take effect any more. Answers to orders make a model ready;
 * only accounts release memory. Nothing is committed before the orders of an earlier process are past. To be used by
 * one thread.
 */
public final class MemoryLedger {

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

    private long confirmedFence;

    private boolean proven;

    private boolean raiseWanted;

    private long raisedFence;

    private long raisedAtNanos;

    /**
     * Creates a ledger without commitments.
     *
     * @param proof what proves that an order can take effect no more
     * @param startedAtNanos when the process started; an earlier one sent no order after this instant
     * @param delayLimitMillis the longest that an order may be under way, in milliseconds; used by
     *     {@link OrderExpiryProof#DELAY}
     * @param startLimitMillis how long the engine's account may lack a load before its outcome is in doubt, in
     *     milliseconds
     */
    public MemoryLedger(OrderExpiryProof proof, long startedAtNanos, long delayLimitMillis, long startLimitMillis) {
        this.proof = Assert.notNull(proof, "proof");
        this.startedAtNanos = startedAtNanos;
        this.delayLimitNanos = Assert.atLeast(delayLimitMillis, 1, "delayLimitMillis") * Clock.NANOS_PER_MILLI;
        this.startLimitNanos = Assert.atLeast(startLimitMillis, 1, "startLimitMillis") * Clock.NANOS_PER_MILLI;
    }

    /**
     * Takes the grant from which the fencing numbers of this process are made.
     *
     * @param grant a number above that of every earlier process beside the engine
     */
    public void fenceGranted(long grant) {
        firstFence = Assert.atLeast(grant, 1, "grant") << ORDERS_PER_GRANT_BITS;
        fence = firstFence;
        raiseWanted = true;
    }

    /**
     * Tells whether memory may be committed: fencing numbers were granted and the orders of an earlier process are
     * past.
     *
     * @return whether it may
     */
    public boolean isCommitPermitted() {
        return proven;
    }

    /**
     * Tells what proves that an order can take effect no more.
     *
     * @return the proof in use; {@link OrderExpiryProof#DELAY} once the engine was seen to forget its fencing number
     */
    public OrderExpiryProof proof() {
        return proof;
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
     * Tells how much is committed to models.
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
     * Tells whether memory can be committed now.
     *
     * @param memoryMb the memory, in mebibytes
     * @return whether there is room and the orders of an earlier process are past
     */
    public boolean hasRoom(long memoryMb) {
        return proven && committedMb() + memoryMb <= sizeMb;
    }

    /**
     * Commits memory for a load whose order is about to be sent.
     *
     * @param key what is loaded
     * @param memoryMb the memory that it takes, in mebibytes
     * @param adapter whether it is an adapter
     * @param nowNanos the present instant
     * @return the order's fencing number; empty if nothing was committed, for want of room or because orders for the
     *     same key are not settled
     */
    public OptionalLong commit(String key, long memoryMb, boolean adapter, long nowNanos) {
        if (commitments.containsKey(key) || !hasRoom(memoryMb) || isExhausted()) {
            return OptionalLong.empty();
        }
        OrderTrace load = OrderTrace.sent(fence, nowNanos);
        commitments.put(key, new Commitment(adapter, memoryMb, ResidencyState.LOADING, load));
        return OptionalLong.of(fence);
    }

    /**
     * Notes an unload whose order is about to be sent; the memory stays committed.
     *
     * @param key what is unloaded
     * @param nowNanos the present instant
     * @return the order's fencing number; empty if the key is neither ready nor waits for its unload to be repeated
     */
    public OptionalLong unload(String key, long nowNanos) {
        Commitment commitment = commitments.get(key);
        boolean permitted =
                commitment != null && (commitment.state() == ResidencyState.READY || commitment.isUnloadFailed());
        if (!permitted || !proven || isExhausted()) {
            return OptionalLong.empty();
        }
        long unloadFence = ++fence;
        fence++;
        commitment.unloadSent(OrderTrace.sent(unloadFence, nowNanos));
        return OptionalLong.of(unloadFence);
    }

    /**
     * Lists what an unload was ordered for that certainly was not carried out in time.
     *
     * @return the keys whose unload is to be repeated
     */
    public Set<String> failedUnloads() {
        return commitments.entrySet().stream()
                .filter(entry -> entry.getValue().isUnloadFailed())
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Asks whether the engine's fencing number is to be raised by an order without effect on memory.
     *
     * @param nowNanos the present instant
     * @return the fencing number to send; empty if none is wanted now
     */
    public OptionalLong raiseFence(long nowNanos) {
        if (proof != OrderExpiryProof.FENCE) {
            return OptionalLong.empty();
        }
        boolean waits = raisedFence > confirmedFence && nowNanos - raisedAtNanos < RAISE_RETRY_NANOS;
        if (!raiseWanted || waits || firstFence == 0 || isExhausted()) {
            return OptionalLong.empty();
        }
        raisedFence = ++fence;
        raisedAtNanos = nowNanos;
        return OptionalLong.of(raisedFence);
    }

    private boolean isExhausted() {
        return fence - firstFence >= (1L << ORDERS_PER_GRANT_BITS) - 2;
    }

    /**
     * Learns that the call of a load ended.
     *
     * @param key what was loaded
     * @param orderFence the order's fencing number
     * @param done whether the engine confirmed it
     * @param nowNanos the present instant
     */
    public void loadEnded(String key, long orderFence, boolean done, long nowNanos) {
        Commitment commitment = commitments.get(key);
        if (commitment != null) {
            commitment.loadEnded(orderFence, done, nowNanos);
        }
    }

    /**
     * Learns that the call of an unload ended, with whatever outcome.
     *
     * @param key what was unloaded
     * @param orderFence the order's fencing number
     * @param nowNanos the present instant
     */
    public void unloadEnded(String key, long orderFence, long nowNanos) {
        Commitment commitment = commitments.get(key);
        if (commitment != null) {
            commitment.unloadEnded(orderFence, nowNanos);
        }
    }

    /**
     * Takes the engine's account: adopts what it shows, and releases what it lacks if no order can load it any more.
     *
     * @param account an account asked for after the one taken before
     * @return the keys released
     */
    public List<String> take(EngineMemoryReport account) {
        sizeMb = account.sizeMb();
        checkFence(account);
        proven |= firstFence > 0 && proof.isPredecessorPast(firstFence, startedAtNanos, account, delayLimitNanos);
        account.residents().forEach((key, resident) -> present(key, resident, account));
        List<String> released = new ArrayList<>();
        raiseWanted = !proven;
        for (String key : List.copyOf(commitments.keySet())) {
            if (!account.residents().containsKey(key) && missing(key, account)) {
                released.add(key);
            }
        }
        return released;
    }

    private void checkFence(EngineMemoryReport account) {
        if (account.fence() < confirmedFence && proof == OrderExpiryProof.FENCE) {
            proof = OrderExpiryProof.DELAY;
            proven = false;
            startedAtNanos = account.askedAtNanos();
        }
        confirmedFence = Math.max(confirmedFence, account.fence());
    }

    private void present(String key, EngineMemoryReport.Resident resident, EngineMemoryReport account) {
        Commitment known = commitments.get(key);
        if (known != null) {
            known.present(resident, account);
            return;
        }
        ResidencyState state = resident.ready() ? ResidencyState.READY : ResidencyState.LOADING;
        commitments.put(
                key, new Commitment(resident.adapter(), resident.memoryMb(), state, OrderTrace.foreign(account)));
    }

    private boolean missing(String key, EngineMemoryReport account) {
        Commitment commitment = commitments.get(key);
        if (!proof.isPast(commitment.load(), account, delayLimitNanos)) {
            commitment.missing(account, startLimitNanos);
            raiseWanted |=
                    commitment.state() == ResidencyState.UNKNOWN || commitment.state() == ResidencyState.UNLOADING;
            return false;
        }
        if (!commitment.isUnloadPast(proof, account, delayLimitNanos)) {
            commitment.unloaded();
            return false;
        }
        commitments.remove(key);
        return true;
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
     * Lists the models or the adapters in a state.
     *
     * @param state the state
     * @param adapters whether adapters are listed, not models
     * @return the keys
     */
    public Set<String> keys(ResidencyState state, boolean adapters) {
        return commitments.entrySet().stream()
                .filter(entry ->
                        entry.getValue().state() == state && entry.getValue().isAdapter() == adapters)
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Tells whether a key is an adapter's.
     *
     * @param key what is held
     * @return whether an adapter is committed under it
     */
    public boolean isAdapter(String key) {
        Commitment commitment = commitments.get(key);
        return commitment != null && commitment.isAdapter();
    }

    /**
     * Tells the memory committed for a key.
     *
     * @param key what is held
     * @return the memory in mebibytes, zero if nothing is committed
     */
    public long memoryMb(String key) {
        Commitment commitment = commitments.get(key);
        return commitment == null ? 0 : commitment.memoryMb();
    }
}
