package org.arbutusstack.wire.link;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@link LinkTransport} that serves all links of a process on one thread with a selector.
 *
 * <p>Thread-safe.
 *
 * @see Link
 */
public final class NioLinkTransport implements LinkTransport {

    private static final Logger logger = LoggerFactory.getLogger(NioLinkTransport.class);

    private static final long EXPIRY_CHECK_MILLIS = 1_000;

    private static final long FLUSH_TIMEOUT_MILLIS = 1_000;

    private static final long FLUSH_CHECK_MILLIS = 5;

    private final Selector selector;

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    private final Thread thread;

    private final LinkKey linkKey;

    private final LinkMetrics metrics;

    private volatile boolean running = true;

    private long nextExpiryCheckNanos = System.nanoTime();

    /**
     * Create a transport whose metrics are not exposed, and start its thread.
     *
     * @param name the name of the thread
     * @param linkKey the key that authenticates peers
     */
    public NioLinkTransport(String name, LinkKey linkKey) {
        this(name, linkKey, new PrometheusRegistry());
    }

    /**
     * Create a transport and start its thread.
     *
     * @param name the name of the thread
     * @param linkKey the key that authenticates peers
     * @param registry the registry of the process's metrics
     */
    public NioLinkTransport(String name, LinkKey linkKey, PrometheusRegistry registry) {
        Assert.hasText(name, "name");
        this.linkKey = Assert.notNull(linkKey, "linkKey");
        this.metrics = new LinkMetrics(Assert.notNull(registry, "registry"));
        try {
            this.selector = Selector.open();
        } catch (IOException failure) {
            throw new WireException("Could not open a selector", failure);
        }
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
        this.thread.start();
    }

    @Override
    public void listen(InetSocketAddress address, LinkListener listener) {
        Assert.notNull(listener, "listener");
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address);
            server.configureBlocking(false);
            execute(() -> register(server, SelectionKey.OP_ACCEPT, (LinkEvents) key -> accept(server, listener)));
        } catch (IOException failure) {
            throw new WireException("Could not listen on " + address, failure);
        }
    }

    @Override
    public Link connect(InetSocketAddress address, LinkListener listener) {
        Assert.notNull(listener, "listener");
        NioLink link = new NioLink(this, listener, address.toString(), handshake(LinkEnd.OPENER));
        execute(() -> link.connect(address));
        return link;
    }

    private void accept(ServerSocketChannel server, LinkListener listener) throws IOException {
        SocketChannel channel = server.accept();
        if (channel == null) {
            return;
        }
        String remote = String.valueOf(channel.getRemoteAddress());
        NioLink link = new NioLink(this, listener, remote, handshake(LinkEnd.ACCEPTOR));
        link.accept(channel);
    }

    LinkMetrics metrics() {
        return metrics;
    }

    private LinkHandshake handshake(LinkEnd end) {
        return new LinkHandshake(linkKey, end);
    }

    SelectionKey register(SelectableChannel channel, int operations, LinkEvents events) {
        try {
            return channel.register(selector, operations, events);
        } catch (IOException failure) {
            throw new WireException("Could not register a channel with the selector", failure);
        }
    }

    void execute(Runnable task) {
        tasks.add(task);
        if (Thread.currentThread() != thread) {
            selector.wakeup();
        }
    }

    private void run() {
        while (running) {
            try {
                selector.select(tasks.isEmpty() ? EXPIRY_CHECK_MILLIS : 1);
                runTasks();
                handleReadyKeys();
                closeExpiredHandshakes();
            } catch (ClosedSelectorException closed) {
                return;
            } catch (IOException | RuntimeException failure) {
                logger.error("event=link-transport-failure", failure);
            }
        }
    }

    private void runTasks() {
        Runnable task = tasks.poll();
        while (task != null) {
            task.run();
            task = tasks.poll();
        }
    }

    private void closeExpiredHandshakes() {
        long now = System.nanoTime();
        if (now - nextExpiryCheckNanos < 0) {
            return;
        }
        nextExpiryCheckNanos = now + TimeUnit.MILLISECONDS.toNanos(EXPIRY_CHECK_MILLIS);
        for (SelectionKey key : List.copyOf(selector.keys())) {
            if (key.attachment() instanceof NioLink link) {
                link.closeIfHandshakeExpired(now);
            }
        }
    }

    private void handleReadyKeys() {
        Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
        while (ready.hasNext()) {
            SelectionKey key = ready.next();
            ready.remove();
            handle(key);
        }
    }

    private static void handle(SelectionKey key) {
        LinkEvents events = (LinkEvents) key.attachment();
        try {
            events.onReady(key);
        } catch (IOException | RuntimeException failure) {
            logger.debug("event=link-failure detail={}", failure.toString());
            events.onFailure();
        }
    }

    /** Wait a limited time until all queued frames have been written to their sockets. */
    private void flush() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS);
        while (System.nanoTime() - deadlineNanos < 0) {
            CompletableFuture<Boolean> flushed = new CompletableFuture<>();
            execute(() -> flushed.complete(selector.keys().stream().allMatch(NioLinkTransport::isFlushed)));
            if (flushed.completeOnTimeout(false, FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .join()) {
                return;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(FLUSH_CHECK_MILLIS));
        }
    }

    private static boolean isFlushed(SelectionKey key) {
        return !(key.attachment() instanceof NioLink link) || link.isFlushed();
    }

    @Override
    public void stop() {
        flush();
        execute(() -> {
            running = false;
            selector.keys().forEach(key -> NioLink.closeQuietly(key.channel()));
        });
        try {
            thread.join(1_000);
            selector.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException failure) {
            logger.debug("event=selector-close-failure", failure);
        }
    }

    /** Callback interface for the events of one channel. */
    interface LinkEvents {

        void onReady(SelectionKey key) throws IOException;

        default void onFailure() {}
    }
}
