package org.arbutusstack.testkit.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finder of free ports on loopback, below the range that the operating system assigns to outgoing connections.
 *
 * <p>Thread-safe.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 12_000;

    private static final int PORT_COUNT = 18_000;

    private static final int STRIDE = 197;

    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % PORT_COUNT));

    private FreePorts() {}

    /**
     * Find a port that no process listens on. The calls in this process return different ports until the whole range
     * has been tried.
     *
     * @return the port
     */
    public static int next() {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new UncheckedIOException(new IOException("Could not find a free port from 12000 to 29999"));
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException inUse) {
            return false;
        }
    }
}
