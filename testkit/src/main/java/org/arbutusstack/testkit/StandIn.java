package org.arbutusstack.testkit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.setting.Setting;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.kernel.setting.SettingsParser;
import org.arbutusstack.kernel.setting.SettingsResult;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.hosts.HostListStandIn;
import org.arbutusstack.testkit.kv.KeyValueStandIn;
import org.arbutusstack.testkit.plain.PlainServiceStandIn;
import org.arbutusstack.testkit.platform.PlatformRunnerStandIn;
import org.arbutusstack.testkit.platform.PlatformStoreStandIn;
import org.arbutusstack.testkit.weights.WeightStoreSpeed;
import org.arbutusstack.testkit.weights.WeightStoreStandIn;

/** Entry point of a process that runs stand-ins of one kind until it is terminated. */
public final class StandIn {

    private static final int USAGE_EXIT_CODE = 64;

    private static final Setting PORTS = Setting.text("ports", "0", "ports to listen on, joined by commas");

    private static final Setting WEIGHT_STORE = Setting.address("weight-store", "", "where engines fetch weights");

    private static final Setting MEMORY = Setting.number("memory-mb", 1, 10_000_000, 80_000, "memory in MiB");

    private static final Setting FENCE = Setting.flag("checks-fence", true, "whether old fencing numbers are refused");

    private static final Setting LAG = Setting.number("lag-millis", 0, 600_000, 500, "lag of the host list in ms");

    private static final Setting SPEED = Setting.text("speed", "stubble", "weight store: stubble or padana");

    private StandIn() {}

    /**
     * Start the stand-ins and wait.
     *
     * @param arguments the kind of stand-in and the flags
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        List<Setting> settings = List.of(PORTS, WEIGHT_STORE, MEMORY, FENCE, LAG, SPEED);
        SettingsResult result = new SettingsParser("standin", settings).parse(arguments, Map.of());
        if (result instanceof SettingsResult.Valid valid && valid.arguments().size() == 1) {
            run(valid.arguments().get(0), valid.settings());
            return;
        }
        System.err.println(
                "usage: standin kv|engine|plain|hosts|weights|platform-store|platform-runner [flags]: " + result);
        System.exit(USAGE_EXIT_CODE);
    }

    private static void run(String kind, Settings settings) throws InterruptedException {
        List<AbstractStandIn> standIns = new ArrayList<>();
        UndertowHttpClient client = new UndertowHttpClient("weights-client", 1);
        for (String port : settings.text(PORTS).split(",")) {
            standIns.add(create(kind, Integer.parseInt(port), settings, client));
        }
        standIns.forEach(AbstractStandIn::start);
        System.out.println("listening " + kind + " "
                + Arrays.toString(
                        standIns.stream().map(AbstractStandIn::address).toArray()));
        new CountDownLatch(1).await();
    }

    private static AbstractStandIn create(String kind, int port, Settings settings, UndertowHttpClient client) {
        return switch (kind) {
            case "kv" -> new KeyValueStandIn(port);
            case "plain" -> new PlainServiceStandIn(port);
            case "hosts" -> new HostListStandIn(port, settings.number(LAG));
            case "weights" -> new WeightStoreStandIn(port, speedOf(settings));
            case "platform-store" -> new PlatformStoreStandIn(port);
            case "platform-runner" -> new PlatformRunnerStandIn(port, "i-" + port, port, List.of("boots"));
            case "engine" -> new EngineStandIn(port, shapeOf(settings), client, weightStoreOf(settings));
            default -> throw new IllegalArgumentException("'kind' is unknown: " + kind);
        };
    }

    private static WeightStoreSpeed speedOf(Settings settings) {
        return settings.text(SPEED).equals("padana") ? WeightStoreSpeed.PADANA : WeightStoreSpeed.STUBBLE_AND_STUD;
    }

    private static EngineShape shapeOf(Settings settings) {
        return EngineShape.SMALL.withMemoryMb(settings.number(MEMORY)).withFenceCheck(settings.flag(FENCE));
    }

    private static HttpTarget weightStoreOf(Settings settings) {
        String address = settings.text(WEIGHT_STORE);
        return address.isEmpty() ? null : HttpTarget.parse(address);
    }
}
