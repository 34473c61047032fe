package org.arbutusstack.bench.deployment;

import java.util.List;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.weights.WeightStoreSpeed;

/** Lists the deployments of today with their sizes. */
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

    private static final EngineShape SHAPE = new EngineShape(80_000, 4, 30, 1_000, 512, 64, true, 1_000);

    private static final long SMALLEST_MODEL_MB = 10_000;

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

    private final WeightStoreSpeed weights;

    Deployment(
            String region,
            List<String> zones,
            String engineService,
            int engineRunners,
            String plainService,
            int plainRunners,
            int models,
            int adapters,
            WeightStoreSpeed weights) {
        this.region = region;
        this.zones = zones;
        this.engineService = engineService;
        this.engineRunners = engineRunners;
        this.plainService = plainService;
        this.plainRunners = plainRunners;
        this.models = models;
        this.adapters = adapters;
        this.weights = weights;
    }

    /**
     * Names the region.
     *
     * @return its name
     */
    public String region() {
        return region;
    }

    /**
     * Chooses the availability zone of a host by its number.
     *
     * @param number the number of the host among its kind
     * @return the zone
     */
    public String zone(int number) {
        return zones.get(number % zones.size());
    }

    /**
     * Names the service of model engines.
     *
     * @return its name
     */
    public String engineService() {
        return engineService;
    }

    /**
     * Counts the runners with model engines; each has one accelerator.
     *
     * @return the number
     */
    public int engineRunners() {
        return engineRunners;
    }

    /**
     * Names the plain service.
     *
     * @return its name
     */
    public String plainService() {
        return plainService;
    }

    /**
     * Counts the runners of the plain service.
     *
     * @return the number
     */
    public int plainRunners() {
        return plainRunners;
    }

    /**
     * Counts the models.
     *
     * @return the number
     */
    public int models() {
        return models;
    }

    /**
     * Counts the adapters.
     *
     * @return the number
     */
    public int adapters() {
        return adapters;
    }

    /**
     * Tells how fast the weight store is.
     *
     * @return its speed
     */
    public WeightStoreSpeed weights() {
        return weights;
    }

    /**
     * Tells the size and speed of an engine.
     *
     * @return its shape
     */
    public EngineShape shape() {
        return SHAPE;
    }

    /**
     * Tells the memory of a model.
     *
     * @param model the model's number
     * @return the memory, in mebibytes
     */
    public static long modelMb(int model) {
        return SMALLEST_MODEL_MB + model % MODEL_SIZES * MODEL_STEP_MB;
    }

    /**
     * Names the model of an adapter.
     *
     * @param adapter the adapter's number
     * @return the model's number
     */
    public int modelOf(int adapter) {
        return adapter % models;
    }

    /**
     * Builds the ticket that creates services, models and adapters.
     *
     * @return the ticket
     */
    public TicketBuilder ticket() {
        TicketBuilder ticket = new TicketBuilder(1).engineService(engineService).plainService(plainService);
        for (int model = 0; model < models; model++) {
            ticket.model("model-" + model, engineService, modelMb(model));
        }
        for (int adapter = 0; adapter < adapters; adapter++) {
            ticket.adapter("adapter-" + adapter, "model-" + modelOf(adapter), ADAPTER_MB);
        }
        return ticket;
    }

    /**
     * Computes the requests that all engines together can answer in a second.
     *
     * @param meanTokens the mean number of tokens of an answer
     * @return the rate with every slot in use
     */
    public double requestsPerSecond(double meanTokens) {
        double stepSeconds = (SHAPE.stepMillis() * MICROS_PER_MILLI + SHAPE.slots() * SHAPE.stepMicrosPerRequest())
                / MICROS_PER_SECOND;
        return engineRunners * SHAPE.slots() / ((meanTokens + 1) * stepSeconds);
    }
}
