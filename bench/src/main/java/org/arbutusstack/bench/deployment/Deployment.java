package org.arbutusstack.bench.deployment;

import java.util.List;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.weights.WeightStoreSpeed;

/** The existing deployments with their sizes. */
public enum Deployment {
    /** Stubble &amp; Stud Boot Works. */
    STUBBLE(
            "prairie",
            List.of("regina", "saskatoon", "brandon", "lethbridge"),
            "stitch-lm",
            8,
            "orderdesk",
            4,
            25,
            65,
            WeightStoreSpeed.STUBBLE_AND_STUD),
    /** Cooperativa Stampa Badge Padana. */
    PADANA(
            "nord-ovest",
            List.of("milano-fiera", "bologna-nord", "verona-est"),
            "testi",
            13,
            "sportello",
            3,
            35,
            100,
            WeightStoreSpeed.PADANA);

    private static final EngineShape ENGINE_SHAPE = new EngineShape(80_000, 4, 30, 1_000, 512, 64, true, 1_000);

    private static final long MIN_MODEL_MB = 10_000;

    private static final long MODEL_STEP_MB = 3_000;

    private static final int MODEL_SIZES = 5;

    private static final long ADAPTER_MB = 400;

    private static final double MICROS_PER_SECOND = 1e6;

    private static final long MICROS_PER_MILLI = 1_000;

    private final String region;

    private final List<String> zones;

    private final String engineService;

    private final int engineRunners;

    private final String plainService;

    private final int plainRunners;

    private final int models;

    private final int adapters;

    private final WeightStoreSpeed weightStoreSpeed;

    Deployment(
            String region,
            List<String> zones,
            String engineService,
            int engineRunners,
            String plainService,
            int plainRunners,
            int models,
            int adapters,
            WeightStoreSpeed weightStoreSpeed) {
        this.region = region;
        this.zones = zones;
        this.engineService = engineService;
        this.engineRunners = engineRunners;
        this.plainService = plainService;
        this.plainRunners = plainRunners;
        this.models = models;
        this.adapters = adapters;
        this.weightStoreSpeed = weightStoreSpeed;
    }

    /**
     * Return the name of the region.
     *
     * @return the region
     */
    public String region() {
        return region;
    }

    /**
     * Return the availability zone of a host. Hosts are assigned to the zones in turn.
     *
     * @param number the number of the host among the hosts of its kind, from zero
     * @return the name of the zone
     */
    public String zone(int number) {
        return zones.get(number % zones.size());
    }

    /**
     * Return the name of the service of model engines.
     *
     * @return the service
     */
    public String engineService() {
        return engineService;
    }

    /**
     * Return the number of runners with a model engine. Each has one accelerator.
     *
     * @return the number
     */
    public int engineRunners() {
        return engineRunners;
    }

    /**
     * Return the name of the plain service.
     *
     * @return the service
     */
    public String plainService() {
        return plainService;
    }

    /**
     * Return the number of runners of the plain service.
     *
     * @return the number
     */
    public int plainRunners() {
        return plainRunners;
    }

    /**
     * Return the number of models.
     *
     * @return the number
     */
    public int models() {
        return models;
    }

    /**
     * Return the number of adapters.
     *
     * @return the number
     */
    public int adapters() {
        return adapters;
    }

    /**
     * Return the speed of the weight store.
     *
     * @return the speed
     */
    public WeightStoreSpeed weightStoreSpeed() {
        return weightStoreSpeed;
    }

    /**
     * Return the size and speed of each engine.
     *
     * @return the shape
     */
    public EngineShape engineShape() {
        return ENGINE_SHAPE;
    }

    /**
     * Return the memory that a model takes.
     *
     * @param model the number of the model, from zero
     * @return the memory, in mebibytes
     */
    public static long modelMb(int model) {
        return MIN_MODEL_MB + model % MODEL_SIZES * MODEL_STEP_MB;
    }

    /**
     * Return the model that an adapter belongs to.
     *
     * @param adapter the number of the adapter, from zero
     * @return the number of the model
     */
    public int modelOfAdapter(int adapter) {
        return adapter % models;
    }

    /**
     * Build the ticket that creates all services, models and adapters.
     *
     * @return the ticket
     */
    public TicketBuilder ticket() {
        TicketBuilder ticket = new TicketBuilder(1).engineService(engineService).plainService(plainService);
        for (int model = 0; model < models; model++) {
            ticket.model("model-" + model, engineService, modelMb(model));
        }
        for (int adapter = 0; adapter < adapters; adapter++) {
            ticket.adapter("adapter-" + adapter, "model-" + modelOfAdapter(adapter), ADAPTER_MB);
        }
        return ticket;
    }

    /**
     * Compute the request rate that all engines together can serve.
     *
     * @param meanTokens the mean number of tokens of an answer
     * @return the rate with every slot in use, in requests per second
     */
    public double requestsPerSecond(double meanTokens) {
        double stepSeconds = (ENGINE_SHAPE.stepMillis() * MICROS_PER_MILLI
                        + ENGINE_SHAPE.slots() * ENGINE_SHAPE.stepMicrosPerRequest())
                / MICROS_PER_SECOND;
        return engineRunners * ENGINE_SHAPE.slots() / ((meanTokens + 1) * stepSeconds);
    }
}
