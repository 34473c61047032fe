package org.arbutusstack.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.server.HttpServers;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.kernel.service.DefaultServiceRegistry;
import org.arbutusstack.kernel.service.Kernel;
import org.arbutusstack.kernel.service.ServiceRegistry;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.SystemClock;
import org.arbutusstack.platform.PlatformRole;
import org.arbutusstack.platform.PlatformSettings;
import org.arbutusstack.wire.link.LinkKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts both roles for a moment on loopback, so that the build can archive the classes which a start loads.
 *
 * <p>Reading classes from the archive is what makes a restarted process ready sooner. Nothing outside the process is
 * called: a small listener answers as an empty store and an empty runner would.
 */
final class Rehearsal {

    static final String COMMAND = "rehearse";

    private static final Logger logger = LoggerFactory.getLogger(Rehearsal.class);

    private static final String LOOPBACK = "127.0.0.1";

    /** The ports that the settings name one after the other. */
    private static final int PORTS = 4;

    private static final int MOST_TRIES = 50;

    private static final long RUN_MILLIS = 1_500;

    private static final String ANSWER = "{\"items\":[],\"events\":[],\"more-pages\":false,\"current-rev\":1,"
            + "\"revision\":1,\"lease\":1,\"ttl-ms\":3000,\"models\":[],\"busy\":false,\"seq\":0,\"born\":1}";

    private Rehearsal() {}

    static void run() throws IOException, InterruptedException {
        Undertow outside = HttpServers.build(LOOPBACK, 0, 1, 1_048_576, Rehearsal::answer);
        outside.start();
        int port = ((InetSocketAddress) outside.getListenerInfo().get(0).getAddress()).getPort();
        Path file = Files.createTempFile("arbutus-rehearsal", ".json");
        try {
            Files.writeString(file, settings(port, firstFreePort()));
            for (PlatformRole role : PlatformRole.values()) {
                rehearse(role, file);
            }
        } finally {
            Files.delete(file);
            outside.stop();
        }
    }

    private static void answer(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> Responses.json(received, 200, ANSWER.getBytes(StandardCharsets.UTF_8)));
    }

    /** Finds ports one after the other that nobody listens on, so that builds can run side by side. */
    private static int firstFreePort() throws IOException {
        for (int attempt = 0; attempt < MOST_TRIES; attempt++) {
            try (ServerSocket probe = new ServerSocket(0)) {
                if (areFree(probe.getLocalPort() + 1)) {
                    return probe.getLocalPort() + 1;
                }
            }
        }
        throw new IOException("Could not find " + PORTS + " free ports one after the other");
    }

    private static boolean areFree(int first) {
        for (int port = first; port < first + PORTS; port++) {
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(LOOPBACK, port));
            } catch (IOException taken) {
                logger.debug("event=port-taken port={} detail={}", port, taken.getMessage());
                return false;
            }
        }
        return true;
    }

    private static String settings(int outsidePort, int firstPort) {
        String outside = "\"" + LOOPBACK + ":" + outsidePort + "\"";
        return "{\"node-name\":\"rehearsal\",\"ip\":\"" + LOOPBACK + "\",\"zone\":\"z\",\"listen\":{\"front\":\""
                + LOOPBACK + ":" + (firstPort + 2) + "\",\"ready\":\"" + LOOPBACK + ":" + (firstPort + 3)
                + "\"},\"internal-ports\":[" + firstPort + "," + (firstPort + 1) + "],\"app\":" + outside
                + ",\"platform\":{\"address\":" + outside
                + "},\"bounds\":{\"grace-s\":0,\"retry-budget-ratio\":0.2,\"retry-burst\":50}}";
    }

    private static void rehearse(PlatformRole role, Path file) throws InterruptedException {
        PlatformSettings.Result result = PlatformSettings.read(file, role.servesCallers());
        if (!(result instanceof PlatformSettings.Result.Valid valid)) {
            throw new IllegalStateException("Could not rehearse: " + result);
        }
        Clock clock = new SystemClock();
        ServiceRegistry registry = new DefaultServiceRegistry();
        role.register(registry, valid.settings(), new LinkKey("rehearsal"), clock, new PrometheusRegistry());
        Kernel kernel = new Kernel(registry, clock);
        kernel.start();
        boolean cutShort = new CountDownLatch(1).await(RUN_MILLIS, TimeUnit.MILLISECONDS);
        logger.info("event=rehearsed role={} cut_short={}", role, cutShort);
        kernel.stop(0);
    }
}
