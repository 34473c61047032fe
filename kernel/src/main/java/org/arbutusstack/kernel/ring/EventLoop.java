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
 * Single-threaded event loop that handles the messages of one bounded ring buffer in order.
 *
 * <p>State that is confined to the handler needs no lock. The thread blocks while the ring is empty instead of
 * spinning. An exception of the handler is logged, and the loop continues with the next message. {@link #offer(Object)}
 * may be called by any thread.
 *
 * @param <T> the type of the messages
 * @see Ring
 */
public final class EventLoop<T> implements Ring<T> {

    private static final Logger logger = LoggerFactory.getLogger(EventLoop.class);

    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final String name;

    private final Disruptor<Slot<T>> disruptor;

    private final RingBuffer<Slot<T>> ringBuffer;

    private final CountDownLatch started = new CountDownLatch(1);

    private volatile boolean accepting;

    /**
     * Create an event loop; its thread does not run before {@link #start()}.
     *
     * @param name the name of the thread, also used in log records
     * @param capacity the capacity of the ring buffer, a power of two
     * @param handler the handler called with each message
     */
    public EventLoop(String name, int capacity, Consumer<T> handler) {
        this.name = Assert.hasText(name, "name");
        Assert.notNull(handler, "handler");
        Assert.isTrue(Integer.bitCount(capacity) == 1, "'capacity' must be a power of two but is " + capacity);
        this.disruptor =
                new Disruptor<>(Slot::new, capacity, this::newThread, ProducerType.MULTI, new BlockingWaitStrategy());
        EventHandler<Slot<T>> eventHandler = new SlotHandler<>(handler, started);
        this.disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler<>(name));
        this.disruptor.handleEventsWith(eventHandler);
        this.ringBuffer = disruptor.getRingBuffer();
    }

    private Thread newThread(Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Start the thread and wait until it runs, so that a {@link #stop()} right afterwards still handles the messages
     * offered before it.
     */
    public void start() {
        disruptor.start();
        try {
            started.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        accepting = true;
    }

    /** Stop accepting messages, wait a limited time for the remaining messages to be handled, and end the thread. */
    public void stop() {
        accepting = false;
        try {
            disruptor.shutdown(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException expired) {
            logger.warn("event=duty-stop-timeout duty={} depth={}", name, depth());
            disruptor.halt();
        }
    }

    @Override
    public boolean offer(T message) {
        Assert.notNull(message, "message");
        return accepting && ringBuffer.tryPublishEvent((slot, sequence) -> slot.message = message);
    }

    @Override
    public int depth() {
        return (int) (ringBuffer.getBufferSize() - ringBuffer.remainingCapacity());
    }

    @Override
    public int capacity() {
        return ringBuffer.getBufferSize();
    }

    /** Entry of the ring buffer that holds one message. */
    private static final class Slot<T> {

        private T message;

        T takeMessage() {
            T current = message;
            message = null;
            return current;
        }
    }

    /** Adapter that passes the message of each slot to the handler of the event loop. */
    private static final class SlotHandler<T> implements EventHandler<Slot<T>> {

        private final Consumer<T> handler;

        private final CountDownLatch started;

        SlotHandler(Consumer<T> handler, CountDownLatch started) {
            this.handler = handler;
            this.started = started;
        }

        @Override
        public void onStart() {
            started.countDown();
        }

        @Override
        public void onEvent(Slot<T> slot, long sequence, boolean endOfBatch) {
            handler.accept(slot.takeMessage());
        }
    }

    /** Exception handler that logs the exception so that the event loop continues. */
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
