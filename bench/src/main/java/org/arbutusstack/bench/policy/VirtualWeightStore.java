package org.arbutusstack.bench.policy;

import java.util.concurrent.TimeUnit;
import org.arbutusstack.testkit.weights.WeightStoreSpeed;

/** Simulation of the weight store: delays each load as the real store does, and counts the loads. Not thread-safe. */
final class VirtualWeightStore {

    private final WeightStoreSpeed speed;

    private final VirtualTime time;

    private int modelsInFlight;

    private int adaptersInFlight;

    private int modelLoads;

    private int adapterLoads;

    VirtualWeightStore(WeightStoreSpeed speed, VirtualTime time) {
        this.speed = speed;
        this.time = time;
    }

    void loadModel(Runnable onLoaded) {
        modelLoads++;
        modelsInFlight++;
        double factor = Math.max(1, (double) modelsInFlight / speed.modelsAtFullSpeed());
        time.scheduleAfter(toNanos(speed.modelMillis() * factor), () -> {
            modelsInFlight--;
            onLoaded.run();
        });
    }

    void loadAdapter(Runnable onLoaded) {
        adapterLoads++;
        adaptersInFlight++;
        double factor = Math.max(1, (double) adaptersInFlight / speed.adaptersAtFullSpeed());
        time.scheduleAfter(toNanos(speed.adapterMillis() * factor), () -> {
            adaptersInFlight--;
            onLoaded.run();
        });
    }

    private static long toNanos(double millis) {
        return Math.round(millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    int modelLoads() {
        return modelLoads;
    }

    int adapterLoads() {
        return adapterLoads;
    }
}
