package org.arbutusstack.side;

import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.placement.MemoryLedger;
import org.arbutusstack.placement.OrderExpiryProof;

/**
 * States what the deployment's engines promise and how a side uses them. Immutable.
 *
 * @param proof what proves that an order can take effect no more
 * @param orderMillis how long the answer to an order is waited for, in milliseconds
 * @param delayLimitMillis the longest that an order may be under way, in milliseconds
 * @param startLimitMillis how long the engine's account may lack a load ordered before it is in doubt, in milliseconds
 * @param adapterLoadsAtOnce the adapters that may load at once
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
     * Reads the contract from the settings of a side.
     *
     * @param settings the checked settings
     * @return the contract
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
