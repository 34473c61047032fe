package org.arbutusstack.testkit.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds ports on loopback that nobody listens on, below the range that the system gives to outgoing connections.
 *
 * <p>Safe for use by any thread.
 */
public final class FreePorts {

    private static final int FIRST = 12_000;

    private static final int COUNT = 18_000;

    private static final int STRIDE = 197;

    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % COUNT));

    private FreePorts() {}

    /**
     * Finds a port; no two calls in this process return the same one.
     *
     * @return the port
     */
    public static int next() {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new UncheckedIOException(new IOException("Could not find a free port"));
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
