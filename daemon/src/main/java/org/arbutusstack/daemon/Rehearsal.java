package org.arbutusstack.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.service.Kernel;
import org.arbutusstack.platform.PlatformRole;
import org.arbutusstack.platform.PlatformSettings;
import org.arbutusstack.platform.RehearsalPlatform;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Training run for the class data sharing archive: starts both roles on loopback and serves a few requests, so that the
 * build can archive the classes that a process loads until its first responses.
 *
 * <p>A process that loads its classes from the archive is ready sooner after a restart.
 */
final class Rehearsal {

    static final String COMMAND = "rehearse";

    private static final Logger logger = LoggerFactory.getLogger(Rehearsal.class);

    /** Time for the links to connect and for the first status messages and order to arrive. */
    private static final long SETTLING_MILLIS = 1_000;

    private Rehearsal() {}

    /** Start both roles, send the requests and stop. */
    static void run() throws IOException, InterruptedException {
        List<Kernel> kernels = new ArrayList<>();
        try (RehearsalPlatform rehearsalPlatform = new RehearsalPlatform()) {
            for (PlatformRole role : PlatformRole.values()) {
                PlatformCommand command = new PlatformCommand(role, environment(rehearsalPlatform, role));
                kernels.add(
                        command.start().orElseThrow(() -> new IllegalStateException("Failed to start role " + role)));
            }
            awaitSettled();
            rehearsalPlatform.call();
            awaitSettled();
            kernels.forEach(kernel -> kernel.stop(0));
        }
    }

    /** Return the environment of a role. Only the side serves metrics, since both roles have the same address here. */
    private static Map<String, String> environment(RehearsalPlatform rehearsalPlatform, PlatformRole role) {
        String settings = rehearsalPlatform.settingsFile().toString();
        Map<String, String> commonEnvironment =
                Map.of(PlatformSettings.FILE_VARIABLE, settings, PlatformCommand.LINK_KEY_VARIABLE, "rehearsal");
        if (role.servesCallers()) {
            return commonEnvironment;
        }
        Map<String, String> sideEnvironment = new HashMap<>(commonEnvironment);
        sideEnvironment.put(PlatformCommand.ADMIN_PORT_VARIABLE, "0");
        return sideEnvironment;
    }

    private static void awaitSettled() throws InterruptedException {
        boolean cutShort = new CountDownLatch(1).await(SETTLING_MILLIS, TimeUnit.MILLISECONDS);
        logger.debug("event=settled cut_short={}", cutShort);
    }
}
