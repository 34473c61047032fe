package org.arbutusstack.testkit.weights;

/**
 * States how fast a weight store is.
 *
 * @param modelMillis the milliseconds for a model at full speed
 * @param modelsAtFullSpeed the models in flight beyond which each takes proportionally longer
 * @param adapterMillis the milliseconds for an adapter at full speed
 * @param adaptersAtFullSpeed the adapters in flight beyond which each takes proportionally longer
 */
public record WeightStoreSpeed(long modelMillis, int modelsAtFullSpeed, long adapterMillis, int adaptersAtFullSpeed) {

    /** The weight store of Stubble &amp; Stud: two loads a second, four at once. */
    public static final WeightStoreSpeed STUBBLE_AND_STUD = new WeightStoreSpeed(2_000, 4, 40, 30);

    /** The weight store of Padana: two and a half loads a second, five at once. */
    public static final WeightStoreSpeed PADANA = new WeightStoreSpeed(2_000, 5, 40, 40);
}
