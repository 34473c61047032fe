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
 * Runs one process of the system on the users' platform, whose settings come in a file.
 *
 * <p>Chosen by the first argument, {@code platform-entry} or {@code platform-side}.
 */
final class PlatformCommand {

    private static final Logger logger = LoggerFactory.getLogger(PlatformCommand.class);

    private static final Map<String, PlatformRole> ROLES =
            Map.of("platform-entry", PlatformRole.ENTRY, "platform-side", PlatformRole.SIDE);

    private static final int SETTINGS_EXIT_CODE = 64;

    private static final int START_EXIT_CODE = 70;

    private static final int LAST_PARTS = 6;

    static final String LINK_KEY_VARIABLE = "ARBUTUS_LINK_KEY";

    static final String ADMIN_PORT_VARIABLE = "ARBUTUS_ADMIN_PORT";

    private final PlatformRole role;

    private final Map<String, String> environment;

    private final CountDownLatch stopped = new CountDownLatch(1);

    PlatformCommand(PlatformRole role, Map<String, String> environment) {
        this.role = role;
        this.environment = environment;
    }

    /** Finds the command that the arguments name. */
    static Optional<PlatformCommand> find(String[] arguments, Map<String, String> environment) {
        return arguments.length == 1 && ROLES.containsKey(arguments[0])
                ? Optional.of(new PlatformCommand(ROLES.get(arguments[0]), environment))
                : Optional.empty();
    }

    void run() throws InterruptedException {
        if (start().isPresent()) {
            stopped.await();
        }
    }

    /** Reads the settings and starts the services; on a mistake the process ends. */
    Optional<Kernel> start() {
        String file = environment.get(PlatformSettings.FILE_VARIABLE);
        String linkKey = environment.get(LINK_KEY_VARIABLE);
        if (file == null || linkKey == null || linkKey.isBlank()) {
            fail(List.of(PlatformSettings.FILE_VARIABLE + " and " + LINK_KEY_VARIABLE + " must be set"));
            return Optional.empty();
        }
        PlatformSettings.Result result = PlatformSettings.read(Path.of(file), role.servesCallers());
        if (result instanceof PlatformSettings.Result.Valid valid) {
            Kernel kernel = start(valid.settings(), new LinkKey(linkKey));
            ReloadSignal.onReload(() -> reload(Path.of(file), valid.settings()));
            return Optional.of(kernel);
        }
        fail(result instanceof PlatformSettings.Result.Invalid invalid ? invalid.mistakes() : List.of());
        return Optional.empty();
    }

    /** Reads the settings anew; addresses and bounds of a running process stay as they are until its next start. */
    private void reload(Path file, PlatformSettings inForce) {
        PlatformSettings.Result result = PlatformSettings.read(file, role.servesCallers());
        if (result instanceof PlatformSettings.Result.Valid valid) {
            logger.info("event=reload changed={}", !valid.settings().equals(inForce));
        } else if (result instanceof PlatformSettings.Result.Invalid invalid) {
            logger.warn("event=reload-refused mistakes={}", invalid.mistakes());
        }
    }

    /** Reads the port of metrics and state; the process has none if the variable is absent. */
    private Optional<Integer> adminPort() {
        String text = environment.get(ADMIN_PORT_VARIABLE);
        try {
            return text == null ? Optional.empty() : Optional.of(Integer.parseInt(text));
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException(
                    "'" + ADMIN_PORT_VARIABLE + "' must be a port but is " + text, malformed);
        }
    }

    private static void fail(List<String> mistakes) {
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

    /** Drains until the last sixth of the grace time. */
    private void stop(Kernel kernel, PlatformSettings settings) {
        logger.info("event=stopping role={}", role);
        kernel.stop(settings.graceMillis() * (LAST_PARTS - 1) / LAST_PARTS);
        logger.info("event=stopped role={}", role);
        stopped.countDown();
        Runtime.getRuntime().halt(0);
    }
}
