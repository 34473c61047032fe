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
 * TCP relay to a port on loopback whose connections can be stalled permanently, to simulate a peer that stops
 * responding.
 *
 * <p>A stalled connection stays open at both ends and carries no further data. New connections work unless the relay is
 * cut. Thread-safe.
 */
public final class SilentRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 8_192;

    private final ServerSocket server;

    private final int targetPort;

    private final List<RelayedConnection> connections = new CopyOnWriteArrayList<>();

    private volatile boolean cut;

    /**
     * Create a relay and start to listen on a free port.
     *
     * @param targetPort the port on loopback to relay to
     */
    public SilentRelay(int targetPort) {
        this.targetPort = targetPort;
        try {
            this.server = new ServerSocket(FreePorts.next(), 50, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not listen on loopback", failure);
        }
        daemonThread(this::accept).start();
    }

    private static Thread daemonThread(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Return the port that the relay listens on.
     *
     * @return the port
     */
    public int port() {
        return server.getLocalPort();
    }

    /** Stall all open connections permanently. New connections work. */
    public void stallOpenConnections() {
        connections.forEach(connection -> connection.stalled = true);
    }

    /**
     * Stall all open and future connections, or let future connections work again.
     *
     * @param isCut whether connections are stalled
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
                RelayedConnection connection = new RelayedConnection(near, far);
                connection.stalled = cut;
                connections.add(connection);
                daemonThread(() -> connection.relay(near, far)).start();
                daemonThread(() -> connection.relay(far, near)).start();
            } catch (IOException refused) {
                Thread.onSpinWait();
            }
        }
    }

    @Override
    public void close() {
        try {
            server.close();
            for (RelayedConnection connection : connections) {
                connection.near.close();
                connection.far.close();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not close the relay", failure);
        }
    }

    /** A relayed connection, with the sockets of both ends. */
    private static final class RelayedConnection {

        private final Socket near;

        private final Socket far;

        private volatile boolean stalled;

        RelayedConnection(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void relay(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                int count = input.read(buffer);
                while (count >= 0) {
                    if (!stalled) {
                        output.write(buffer, 0, count);
                    }
                    count = input.read(buffer);
                }
                closeUnlessStalled(to);
            } catch (IOException broken) {
                closeQuietly(to);
            }
        }

        private void closeUnlessStalled(Socket socket) {
            if (!stalled) {
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
