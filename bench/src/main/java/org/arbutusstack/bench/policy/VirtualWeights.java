package org.arbutusstack.bench.policy;

import java.util.concurrent.TimeUnit;
import org.arbutusstack.testkit.weights.WeightStoreSpeed;

/** Takes the time of the weight store over loads, and counts them. To be used by one thread. */
final class VirtualWeights {

    private final WeightStoreSpeed speed;

    private final VirtualTime time;

    private int modelsInFlight;

    private int adaptersInFlight;

    private int modelLoads;

    private int adapterLoads;

    VirtualWeights(WeightStoreSpeed speed, VirtualTime time) {
        this.speed = speed;
        this.time = time;
    }

    void loadModel(Runnable whenLoaded) {
        modelLoads++;
        modelsInFlight++;
        double factor = Math.max(1, (double) modelsInFlight / speed.modelsAtFullSpeed());
        time.after(nanos(speed.modelMillis() * factor), () -> {
            modelsInFlight--;
            whenLoaded.run();
        });
    }

    void loadAdapter(Runnable whenLoaded) {
        adapterLoads++;
        adaptersInFlight++;
        double factor = Math.max(1, (double) adaptersInFlight / speed.adaptersAtFullSpeed());
        time.after(nanos(speed.adapterMillis() * factor), () -> {
            adaptersInFlight--;
            whenLoaded.run();
        });
    }

    private static long nanos(double millis) {
        return Math.round(millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    int modelLoads() {
        return modelLoads;
    }

    int adapterLoads() {
        return adapterLoads;
    }
}
