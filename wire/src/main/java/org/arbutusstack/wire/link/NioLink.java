package org.arbutusstack.wire.link;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.wire.WireException;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.FrameCodec;
import org.arbutusstack.wire.frame.ProtocolErrorFrame;

/**
 * {@link Link} over one non-blocking connection of a {@link NioLinkTransport}.
 *
 * <p>{@link #send(Frame)}, {@link #close()} and the accessors may be called by any thread; everything else runs on the
 * transport's thread.
 */
final class NioLink implements Link, NioLinkTransport.LinkEvents {

    private static final int INITIAL_BUFFER_BYTES = 16 * 1_024;

    private static final long HANDSHAKE_TIMEOUT_NANOS = 5_000_000_000L;

    private static final long MAX_PENDING_BYTES = 8L * 1_024 * 1_024;

    private final NioLinkTransport transport;

    private final LinkListener listener;

    private final String remote;

    private final Queue<ByteBuffer> outbound = new ConcurrentLinkedQueue<>();

    private final AtomicLong pendingBytes = new AtomicLong();

    private final AtomicBoolean writeScheduled = new AtomicBoolean();

    private final AtomicBoolean closed = new AtomicBoolean();

    private volatile long lastReceivedAtNanos = System.nanoTime();

    private SocketChannel channel;

    private SelectionKey key;

    private ByteBuffer inbound = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

    private final LinkHandshake handshake;

    private final long handshakeDeadlineNanos = System.nanoTime() + HANDSHAKE_TIMEOUT_NANOS;

    private volatile boolean authenticated;

    NioLink(NioLinkTransport transport, LinkListener listener, String remote, LinkHandshake handshake) {
        this.transport = transport;
        this.listener = listener;
        this.remote = remote;
        this.handshake = handshake;
    }

    void connect(InetSocketAddress address) {
        if (closed.get()) {
            return;
        }
        try {
            channel = SocketChannel.open();
            configure();
            boolean connected = channel.connect(address);
            key = transport.register(channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (connected) {
                enqueue(handshake.challenge());
            }
        } catch (IOException | RuntimeException failure) {
            onFailure();
        }
    }

    void accept(SocketChannel accepted) throws IOException {
        channel = accepted;
        configure();
        key = transport.register(channel, SelectionKey.OP_READ, this);
        enqueue(handshake.challenge());
    }

    private void configure() throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    @Override
    public boolean send(Frame frame) {
        return authenticated && enqueue(frame);
    }

    private boolean enqueue(Frame frame) {
        if (closed.get() || pendingBytes.get() > MAX_PENDING_BYTES) {
            return false;
        }
        ByteBuffer bytes = FrameCodec.encode(frame);
        transport.metrics().sent(frame.type(), bytes.remaining());
        pendingBytes.addAndGet(bytes.remaining());
        outbound.add(bytes);
        if (writeScheduled.compareAndSet(false, true)) {
            transport.execute(this::writePending);
        }
        return true;
    }

    /** Return whether no bytes are pending, or whether they cannot be written because the channel is not connected. */
    boolean isFlushed() {
        return pendingBytes.get() == 0 || !channel.isConnected();
    }

    private void writePending() {
        writeScheduled.set(false);
        if (closed.get() || key == null || !channel.isConnected()) {
            return;
        }
        try {
            write();
        } catch (IOException | RuntimeException failure) {
            onFailure();
        }
    }

    private void write() throws IOException {
        ByteBuffer first = outbound.peek();
        while (first != null) {
            int count = channel.write(first);
            pendingBytes.addAndGet(-count);
            if (first.hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            outbound.poll();
            first = outbound.peek();
        }
        key.interestOps(SelectionKey.OP_READ);
    }

    @Override
    public void onReady(SelectionKey readyKey) throws IOException {
        if (readyKey.isConnectable() && channel.finishConnect()) {
            readyKey.interestOps(SelectionKey.OP_READ);
            lastReceivedAtNanos = System.nanoTime();
            enqueue(handshake.challenge());
            write();
            return;
        }
        if (readyKey.isWritable()) {
            write();
        }
        if (readyKey.isReadable()) {
            read();
        }
    }

    private void read() throws IOException {
        int count = channel.read(inbound);
        if (count < 0) {
            onFailure();
            return;
        }
        lastReceivedAtNanos = System.nanoTime();
        inbound.flip();
        while (readFrame()) {
            lastReceivedAtNanos = System.nanoTime();
        }
        inbound.compact();
    }

    private boolean readFrame() {
        if (inbound.remaining() < FrameCodec.LENGTH_BYTES) {
            return false;
        }
        int length = inbound.getInt(inbound.position());
        if (length < 1 || length > FrameCodec.MAX_FRAME_BYTES) {
            enqueue(new ProtocolErrorFrame("a frame of " + length + " bytes is not permitted"));
            throw new WireException("Could not read a frame from " + remote + ": its length is " + length);
        }
        if (inbound.remaining() < FrameCodec.LENGTH_BYTES + length) {
            ensureCapacity(FrameCodec.LENGTH_BYTES + length);
            return false;
        }
        inbound.getInt();
        byte[] payload = new byte[length];
        inbound.get(payload);
        handlePayload(payload);
        return true;
    }

    private void ensureCapacity(int neededBytes) {
        if (inbound.capacity() >= neededBytes) {
            return;
        }
        inbound = ByteBuffer.allocate(neededBytes).put(inbound).flip();
    }

    private void handlePayload(byte[] payload) {
        Frame frame;
        try {
            frame = FrameCodec.decode(payload);
        } catch (WireException malformed) {
            enqueue(new ProtocolErrorFrame(malformed.getMessage()));
            transport.metrics().malformed();
            listener.onMalformed(this, malformed);
            return;
        }
        transport.metrics().received(frame.type(), FrameCodec.LENGTH_BYTES + payload.length);
        if (authenticated) {
            listener.onFrame(this, frame);
            return;
        }
        continueHandshake(frame);
    }

    private void continueHandshake(Frame frame) {
        Frame answer = handshake.process(frame);
        if (answer != null) {
            enqueue(answer);
        }
        if (handshake.isDone()) {
            authenticated = true;
            transport.metrics().opened();
            listener.onOpen(this);
        }
    }

    /** Close the connection if its handshake has not been completed in time. */
    void closeIfHandshakeExpired(long nowNanos) {
        if (!authenticated && nowNanos - handshakeDeadlineNanos >= 0) {
            onFailure();
        }
    }

    @Override
    public void onFailure() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        closeQuietly(channel);
        outbound.clear();
        transport.metrics().closed(authenticated);
        listener.onClosed(this);
    }

    @Override
    public void close() {
        transport.execute(this::onFailure);
    }

    static void closeQuietly(Closeable closeable) {
        if (closeable == null) {
            return;
        }
        try {
            closeable.close();
        } catch (IOException ignored) {
            // The connection is discarded in any case.
            return;
        }
    }

    @Override
    public boolean isOpen() {
        return !closed.get();
    }

    @Override
    public long lastReceivedAtNanos() {
        return lastReceivedAtNanos;
    }

    @Override
    public String remote() {
        return remote;
    }
}
