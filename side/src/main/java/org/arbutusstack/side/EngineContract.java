package org.arbutusstack.side;

import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.placement.MemoryLedger;
import org.arbutusstack.placement.OrderExpiryProof;

/**
 * Guarantees and limits of the deployment's engines. Immutable.
 *
 * @param proof what proves that an order can no longer take effect
 * @param orderMillis the timeout of an order, in milliseconds
 * @param delayLimitMillis the longest time that an order can be in flight, in milliseconds
 * @param startLimitMillis how long an ordered load may be missing in the engine's memory report before its outcome is
 *     undecided, in milliseconds
 * @param adapterLoadsAtOnce the maximum number of adapters that load at the same time
 * @param adapterStickyMillis how long an adapter is kept after its last use, in milliseconds
 */
public record EngineContract(
        OrderExpiryProof proof,
        long orderMillis,
        long delayLimitMillis,
        long startLimitMillis,
        int adapterLoadsAtOnce,
        long adapterStickyMillis) {

    /**
     * Create a contract from the settings of a side.
     *
     * @param settings the validated settings
     * @return the contract that they describe
     */
    public static EngineContract of(Settings settings) {
        return new EngineContract(
                settings.flag(EngineSettings.ENGINE_CHECKS_FENCE) ? OrderExpiryProof.FENCE : OrderExpiryProof.DELAY,
                settings.number(EngineSettings.ORDER_TIMEOUT),
                settings.number(EngineSettings.ORDER_DELAY_LIMIT),
                settings.number(EngineSettings.ORDER_START_LIMIT),
                (int) settings.number(EngineSettings.ADAPTER_LOADS),
                settings.number(EngineSettings.ADAPTER_STICKY));
    }

    MemoryLedger ledger(long startedAtNanos) {
        return new MemoryLedger(proof, startedAtNanos, delayLimitMillis, startLimitMillis);
    }
}
