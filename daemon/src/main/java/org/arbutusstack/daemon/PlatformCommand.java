package org.arbutusstack.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.arbutusstack.kernel.service.DefaultServiceRegistry;
import org.arbutusstack.kernel.service.Kernel;
import org.arbutusstack.kernel.service.ServiceException;
import org.arbutusstack.kernel.service.ServiceRegistry;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.SystemClock;
import org.arbutusstack.platform.PlatformRole;
import org.arbutusstack.platform.PlatformSettings;
import org.arbutusstack.platform.RoleStatus;
import org.arbutusstack.wire.link.LinkKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Command that runs one process of the system on the users' platform, with settings from a file.
 *
 * <p>Selected by the only argument, {@code platform-entry} or {@code platform-side}.
 */
final class PlatformCommand {

    private static final Logger logger = LoggerFactory.getLogger(PlatformCommand.class);

    private static final Map<String, PlatformRole> ROLES =
            Map.of("platform-entry", PlatformRole.ENTRY, "platform-side", PlatformRole.SIDE);

    private static final int SETTINGS_EXIT_CODE = 64;

    private static final int START_EXIT_CODE = 70;

    private static final int GRACE_PARTS = 6;

    static final String LINK_KEY_VARIABLE = "ARBUTUS_LINK_KEY";

    static final String ADMIN_PORT_VARIABLE = "ARBUTUS_ADMIN_PORT";

    private final PlatformRole role;

    private final Map<String, String> environment;

    private final CountDownLatch stopped = new CountDownLatch(1);

    PlatformCommand(PlatformRole role, Map<String, String> environment) {
        this.role = role;
        this.environment = environment;
    }

    /** Return the command that the arguments select, or empty if they select none. */
    static Optional<PlatformCommand> find(String[] arguments, Map<String, String> environment) {
        return arguments.length == 1 && ROLES.containsKey(arguments[0])
                ? Optional.of(new PlatformCommand(ROLES.get(arguments[0]), environment))
                : Optional.empty();
    }

    /** Start the process and block until it has stopped; return at once if it did not start. */
    void run() throws InterruptedException {
        if (start().isPresent()) {
            stopped.await();
        }
    }

    /** Read the settings and start the services; exit with code 64 if the settings are invalid. */
    Optional<Kernel> start() {
        String file = environment.get(PlatformSettings.FILE_VARIABLE);
        String linkKey = environment.get(LINK_KEY_VARIABLE);
        if (file == null || linkKey == null || linkKey.isBlank()) {
            exitWithMistakes(List.of(PlatformSettings.FILE_VARIABLE + " and " + LINK_KEY_VARIABLE + " must be set"));
            return Optional.empty();
        }
        PlatformSettings.Result result = PlatformSettings.read(Path.of(file), role.servesCallers(), environment);
        if (result instanceof PlatformSettings.Result.Valid valid) {
            Kernel kernel = start(valid.settings(), new LinkKey(linkKey));
            ReloadSignal.onReload(() -> reload(Path.of(file), valid.settings()));
            return Optional.of(kernel);
        }
        exitWithMistakes(result instanceof PlatformSettings.Result.Invalid invalid ? invalid.mistakes() : List.of());
        return Optional.empty();
    }

    /** Validate the settings file again and log the result; changed settings take effect at the next start only. */
    private void reload(Path file, PlatformSettings activeSettings) {
        PlatformSettings.Result result = PlatformSettings.read(file, role.servesCallers(), environment);
        if (result instanceof PlatformSettings.Result.Valid valid) {
            logger.info("event=reload changed={}", !valid.settings().equals(activeSettings));
        } else if (result instanceof PlatformSettings.Result.Invalid invalid) {
            logger.warn("event=reload-refused mistakes={}", invalid.mistakes());
        }
    }

    /** Return the port for metrics and state, or empty if the variable is not set and no listener is started. */
    private Optional<Integer> adminPort() {
        String text = environment.get(ADMIN_PORT_VARIABLE);
        try {
            return text == null ? Optional.empty() : Optional.of(Integer.parseInt(text));
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException(
                    "'" + ADMIN_PORT_VARIABLE + "' must be a port number but is " + text, malformed);
        }
    }

    private static void exitWithMistakes(List<String> mistakes) {
        mistakes.forEach(mistake -> System.err.println("arbutusd: " + mistake));
        System.exit(SETTINGS_EXIT_CODE);
    }

    private Kernel start(PlatformSettings settings, LinkKey linkKey) {
        Clock clock = new SystemClock();
        ServiceRegistry registry = new DefaultServiceRegistry();
        Kernel kernel = new Kernel(registry, clock);
        try {
            PrometheusRegistry metrics = new PrometheusRegistry();
            RoleStatus view = role.register(registry, settings, linkKey, clock, metrics);
            adminPort()
                    .ifPresent(port -> registry.register(
                            new AdminListener(settings.address(), port, metrics, view.ready(), view.state())));
            kernel.start();
        } catch (ServiceException | IllegalArgumentException failure) {
            logger.error("event=start-failed role={}", role, failure);
            System.exit(START_EXIT_CODE);
        }
        logger.info("event=started role={} host={} zone={}", role, settings.hostName(), settings.zone());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(kernel, settings), "shutdown"));
        return kernel;
    }

    /** Stop the services, using all but the last sixth of the grace period for draining. */
    private void stop(Kernel kernel, PlatformSettings settings) {
        logger.info("event=stopping role={}", role);
        kernel.stop(settings.graceMillis() * (GRACE_PARTS - 1) / GRACE_PARTS);
        logger.info("event=stopped role={}", role);
        stopped.countDown();
        Runtime.getRuntime().halt(0);
    }
}
