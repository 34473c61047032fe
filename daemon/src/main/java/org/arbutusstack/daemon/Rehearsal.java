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
 * Starts both roles on loopback and serves a few requests, so that the build can archive the classes which a process
 * needs until its first answers.
 *
 * <p>Reading classes from the archive is what makes a restarted process ready sooner.
 */
final class Rehearsal {

    static final String COMMAND = "rehearse";

    private static final Logger logger = LoggerFactory.getLogger(Rehearsal.class);

    /** For the links, the first statuses and an order. */
    private static final long SETTLE_MILLIS = 1_000;

    private Rehearsal() {}

    static void run() throws IOException, InterruptedException {
        List<Kernel> kernels = new ArrayList<>();
        try (RehearsalPlatform world = new RehearsalPlatform()) {
            for (PlatformRole role : PlatformRole.values()) {
                PlatformCommand command = new PlatformCommand(role, environment(world, role));
                kernels.add(command.start().orElseThrow(() -> new IllegalStateException("Could not start " + role)));
            }
            settle();
            world.call();
            settle();
            kernels.forEach(kernel -> kernel.stop(0));
        }
    }

    /** Metrics and state are served by the side alone, since both roles have the same address here. */
    private static Map<String, String> environment(RehearsalPlatform world, PlatformRole role) {
        String settings = world.settingsFile().toString();
        Map<String, String> both =
                Map.of(PlatformSettings.FILE_VARIABLE, settings, PlatformCommand.LINK_KEY_VARIABLE, "rehearsal");
        if (role.servesCallers()) {
            return both;
        }
        Map<String, String> side = new HashMap<>(both);
        side.put(PlatformCommand.ADMIN_PORT_VARIABLE, "0");
        return side;
    }

    private static void settle() throws InterruptedException {
        boolean cutShort = new CountDownLatch(1).await(SETTLE_MILLIS, TimeUnit.MILLISECONDS);
        logger.debug("event=settled cut_short={}", cutShort);
    }
}
