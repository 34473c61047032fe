package org.arbutusstack.kernel.ring;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one thread that handles the messages of one bounded ring in order.
 *
 * <p>State that only the handler touches needs no lock. The thread waits blocking, not spinning. An error of the
 * handler is logged and the next message is handled. {@link #offer(Object)} is safe for use by any thread.
 *
 * @param <T> the messages' type
 * @see Ring
 */
public final class EventLoop<T> implements Ring<T> {

    private static final Logger logger = LoggerFactory.getLogger(EventLoop.class);

    private static final long STOP_MILLIS = 2_000;

    private final String name;

    private final Disruptor<Slot<T>> disruptor;

    private final RingBuffer<Slot<T>> ringBuffer;

    private final CountDownLatch running = new CountDownLatch(1);

    private volatile boolean open;

    /**
     * Creates a duty; it does not run before {@link #start()}.
     *
     * @param name the thread's name
     * @param capacity the ring's bound, a power of two
     * @param handler what is done with each message
     */
    public EventLoop(String name, int capacity, Consumer<T> handler) {
        this.name = Assert.hasText(name, "name");
        Assert.notNull(handler, "handler");
        Assert.isTrue(Integer.bitCount(capacity) == 1, "'capacity' must be a power of two but is " + capacity);
        this.disruptor =
                new Disruptor<>(Slot::new, capacity, this::newThread, ProducerType.MULTI, new BlockingWaitStrategy());
        EventHandler<Slot<T>> eventHandler = new SlotHandler<>(handler, running);
        this.disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler<>(name));
        this.disruptor.handleEventsWith(eventHandler);
        this.ringBuffer = disruptor.getRingBuffer();
    }

    private Thread newThread(Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts the thread and waits until it runs, so that {@link #stop()} finds it and lets it finish. */
    public void start() {
        disruptor.start();
        try {
            running.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        open = true;
    }

    /** Takes no further messages, lets the thread handle those that wait for a short time, and ends it. */
    public void stop() {
        open = false;
        try {
            disruptor.shutdown(STOP_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException expired) {
            logger.warn("event=duty-stop-timeout duty={} depth={}", name, depth());
            disruptor.halt();
        }
    }

    @Override
    public boolean offer(T message) {
        Assert.notNull(message, "message");
        return open && ringBuffer.tryPublishEvent((slot, sequence) -> slot.message = message);
    }

    @Override
    public int depth() {
        return (int) (ringBuffer.getBufferSize() - ringBuffer.remainingCapacity());
    }

    @Override
    public int capacity() {
        return ringBuffer.getBufferSize();
    }

    /** Holds one message of the ring. */
    private static final class Slot<T> {

        private T message;

        T clear() {
            T taken = message;
            message = null;
            return taken;
        }
    }

    /** Hands messages to the duty's handler. */
    private static final class SlotHandler<T> implements EventHandler<Slot<T>> {

        private final Consumer<T> handler;

        private final CountDownLatch running;

        SlotHandler(Consumer<T> handler, CountDownLatch running) {
            this.handler = handler;
            this.running = running;
        }

        @Override
        public void onStart() {
            running.countDown();
        }

        @Override
        public void onEvent(Slot<T> slot, long sequence, boolean endOfBatch) {
            handler.accept(slot.clear());
        }
    }

    /** Logs errors of the handler and goes on. */
    private record LoggingExceptionHandler<T>(String name) implements ExceptionHandler<Slot<T>> {

        @Override
        public void handleEventException(Throwable failure, long sequence, Slot<T> slot) {
            logger.error("event=duty-failure duty={}", name, failure);
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            logger.error("event=duty-start-failure duty={}", name, failure);
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            logger.error("event=duty-stop-failure duty={}", name, failure);
        }
    }
}
