package org.arbutusstack.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.audit.ChainedAuditTrail;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.service.DefaultServiceRegistry;
import org.arbutusstack.kernel.service.Kernel;
import org.arbutusstack.kernel.service.ServiceException;
import org.arbutusstack.kernel.service.ServiceRegistry;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.kernel.setting.SettingsParser;
import org.arbutusstack.kernel.setting.SettingsResult;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.SystemClock;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.MeteredKeyValueStore;
import org.arbutusstack.store.etcd.EtcdKeyValueStore;
import org.arbutusstack.wire.link.LinkKey;
import org.arbutusstack.wire.link.NioLinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Main class of arbutusd, which runs one process of the system until it receives a termination signal.
 *
 * <p>Exit codes: 0 after a graceful stop, 64 if the settings are invalid, 70 if a service fails to start.
 */
public final class ArbutusDaemon {

    private static final Logger logger = LoggerFactory.getLogger(ArbutusDaemon.class);

    private static final int SETTINGS_EXIT_CODE = 64;

    private static final int START_EXIT_CODE = 70;

    private static final int INCARNATION_LENGTH = 12;

    private final CountDownLatch stopped = new CountDownLatch(1);

    private ArbutusDaemon() {}

    /**
     * Run the command that the arguments select, or the daemon with the settings that they give.
     *
     * @param arguments {@code rehearse}, {@code platform-entry} or {@code platform-side} alone, or the flags
     * @throws InterruptedException if the main thread is interrupted while the process runs
     */
    public static void main(String[] arguments) throws InterruptedException {
        if (arguments.length == 1 && Rehearsal.COMMAND.equals(arguments[0])) {
            rehearse();
            return;
        }
        Optional<PlatformCommand> command = PlatformCommand.find(arguments, System.getenv());
        if (command.isPresent()) {
            command.get().run();
            return;
        }
        SettingsResult result = new SettingsParser("arbutusd", DaemonSettings.all()).parse(arguments, System.getenv());
        if (result instanceof SettingsResult.Information information) {
            System.out.println(information.text());
        } else if (result instanceof SettingsResult.Invalid invalid) {
            exitWithMistakes(invalid.mistakes());
        } else if (result instanceof SettingsResult.Valid valid) {
            new ArbutusDaemon().run(valid.settings());
        }
    }

    private static void rehearse() throws InterruptedException {
        try {
            Rehearsal.run();
            System.exit(0);
        } catch (IOException | IllegalStateException failure) {
            logger.error("event=rehearsal-failed", failure);
            System.exit(START_EXIT_CODE);
        }
    }

    private static void exitWithMistakes(List<String> mistakes) {
        mistakes.forEach(mistake -> System.err.println("arbutusd: " + mistake));
        System.exit(SETTINGS_EXIT_CODE);
    }

    private static Optional<Role> parseRole(Settings settings) {
        try {
            return Optional.of(Role.valueOf(settings.text(DaemonSettings.ROLE).toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException unknown) {
            return Optional.empty();
        }
    }

    private void run(Settings settings) throws InterruptedException {
        Optional<Role> role = parseRole(settings);
        if (role.isEmpty()) {
            exitWithMistakes(List.of("--role (ARBUTUS_ROLE): value '" + settings.text(DaemonSettings.ROLE)
                    + "', permitted: entry or side"));
            return;
        }
        List<String> mistakes = role.get().validate(settings);
        if (!mistakes.isEmpty()) {
            exitWithMistakes(mistakes);
            return;
        }
        start(role.get(), settings);
        stopped.await();
    }

    private void start(Role role, Settings settings) {
        ProcessContext context = createContext(settings);
        ServiceRegistry registry = new DefaultServiceRegistry();
        Kernel kernel = new Kernel(registry, context.clock());
        try {
            registry.register(context.trail());
            role.register(registry, settings, context);
            kernel.start();
        } catch (ServiceException | IllegalArgumentException failure) {
            logger.error("event=start-failed role={}", role, failure);
            System.exit(START_EXIT_CODE);
        }
        logger.info(
                "event=started role={} name={} incarnation={}",
                role,
                settings.text(DaemonSettings.NAME),
                context.incarnation());
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            logger.info("event=stopping role={}", role);
                            kernel.stop(settings.number(DaemonSettings.DRAIN));
                            context.close();
                            logger.info("event=stopped role={}", role);
                            stopped.countDown();
                            Runtime.getRuntime().halt(0);
                        },
                        "shutdown"));
    }

    private static ProcessContext createContext(Settings settings) {
        Clock clock = new SystemClock();
        String incarnation = UUID.randomUUID().toString().replace("-", "").substring(0, INCARNATION_LENGTH);
        UndertowHttpClient client = new UndertowHttpClient("http-client", 1);
        PrometheusRegistry metrics = new PrometheusRegistry();
        KeyValueStore store = new MeteredKeyValueStore(
                new EtcdKeyValueStore(client, HttpTarget.parse(settings.text(DaemonSettings.STORE))), clock, metrics);
        ChainedAuditTrail trail = new ChainedAuditTrail(
                settings.text(DaemonSettings.NAME),
                incarnation,
                System.out,
                store,
                clock,
                TimeUnit.SECONDS.toMillis(settings.number(DaemonSettings.ANCHOR_PERIOD)),
                TimeUnit.DAYS.toSeconds(settings.number(DaemonSettings.RETENTION)));
        NioLinkTransport transport =
                new NioLinkTransport("links", new LinkKey(settings.text(DaemonSettings.LINK_KEY)), metrics);
        return new ProcessContext(incarnation, clock, client, store, transport, metrics, trail);
    }
}
