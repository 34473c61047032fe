package org.arbutusstack.testkit.weights;

/**
 * Speed of a weight store.
 *
 * @param modelMillis the time to fetch a model at full speed, in milliseconds
 * @param modelsAtFullSpeed the maximum number of models in flight at full speed; above it each fetch takes
 *     proportionally longer
 * @param adapterMillis the time to fetch an adapter at full speed, in milliseconds
 * @param adaptersAtFullSpeed the maximum number of adapters in flight at full speed; above it each fetch takes
 *     proportionally longer
 */
public record WeightStoreSpeed(long modelMillis, int modelsAtFullSpeed, long adapterMillis, int adaptersAtFullSpeed) {

    /** The weight store of Stubble &amp; Stud: two model loads per second, four concurrently. */
    public static final WeightStoreSpeed STUBBLE_AND_STUD = new WeightStoreSpeed(2_000, 4, 40, 30);

    /** The weight store of Padana: two and a half model loads per second, five concurrently. */
    public static final WeightStoreSpeed PADANA = new WeightStoreSpeed(2_000, 5, 40, 40);
}
