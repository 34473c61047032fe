package org.arbutusstack.testkit.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Relays TCP connections to a port on loopback, until told to let those that stand go silent for good.
 *
 * <p>A silent connection stays open at both ends and carries nothing more; new ones work, unless the relay is cut.
 * Safe for use by any thread.
 */
public final class SilentRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 8_192;

    private final ServerSocket server;

    private final int targetPort;

    private final List<Pair> pairs = new CopyOnWriteArrayList<>();

    private volatile boolean cut;

    /**
     * Creates a relay and starts to listen.
     *
     * @param targetPort the port on loopback that it relays to
     */
    public SilentRelay(int targetPort) {
        this.targetPort = targetPort;
        try {
            this.server = new ServerSocket(FreePorts.next(), 50, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not listen", failure);
        }
        daemon(this::accept).start();
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Tells where the relay listens.
     *
     * @return the port
     */
    public int port() {
        return server.getLocalPort();
    }

    /** Lets the connections that stand carry nothing more; new ones work. */
    public void stallOpenConnections() {
        pairs.forEach(pair -> pair.silent = true);
    }

    /**
     * Lets all connections, those to come included, carry nothing, or heals those to come.
     *
     * @param isCut whether nothing is carried
     */
    public void cut(boolean isCut) {
        cut = isCut;
        if (isCut) {
            stallOpenConnections();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                Socket far = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                Pair pair = new Pair(near, far);
                pair.silent = cut;
                pairs.add(pair);
                daemon(() -> pair.pump(near, far)).start();
                daemon(() -> pair.pump(far, near)).start();
            } catch (IOException refused) {
                Thread.onSpinWait();
            }
        }
    }

    @Override
    public void close() {
        try {
            server.close();
            for (Pair pair : pairs) {
                pair.near.close();
                pair.far.close();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not close the relay", failure);
        }
    }

    /** Holds the two ends of one connection. */
    private static final class Pair {

        private final Socket near;

        private final Socket far;

        private volatile boolean silent;

        Pair(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void pump(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                int count = input.read(buffer);
                while (count >= 0) {
                    if (!silent) {
                        output.write(buffer, 0, count);
                    }
                    count = input.read(buffer);
                }
                closeUnlessSilent(to);
            } catch (IOException broken) {
                closeQuietly(to);
            }
        }

        private void closeUnlessSilent(Socket socket) {
            if (!silent) {
                closeQuietly(socket);
            }
        }

        private static void closeQuietly(Socket socket) {
            try {
                socket.close();
            } catch (IOException ignored) {
                return;
            }
        }
    }
}
