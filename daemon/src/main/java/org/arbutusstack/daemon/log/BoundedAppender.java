package org.arbutusstack.daemon.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Asynchronous appender with a bounded queue that drops events instead of blocking when the reader of the target has
 * stopped.
 *
 * <p>A background thread writes the queued events. The number of dropped events is written as a log line of its own as
 * soon as the target accepts lines again. Thread-safe.
 */
public final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {

    private static final int QUEUE_CAPACITY = 1_024;

    private static final long POLL_MILLIS = 1_000;

    private static final long STOP_TIMEOUT_MILLIS = 200;

    private final BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

    private final AtomicLong dropped = new AtomicLong();

    private OutputStream target = System.out;

    private Encoder<ILoggingEvent> encoder;

    private Thread writer;

    /**
     * Set the encoder; required before {@link #start()}.
     *
     * @param lineEncoder the encoder that formats events as lines
     */
    public void setEncoder(Encoder<ILoggingEvent> lineEncoder) {
        encoder = lineEncoder;
    }

    /**
     * Set the stream to write to.
     *
     * @param name {@code stderr} for the standard error stream; any other value selects the standard output stream
     */
    public void setTarget(String name) {
        target = "stderr".equals(name) ? System.err : System.out;
    }

    void setStream(OutputStream stream) {
        target = stream;
    }

    /**
     * Return how many lines were dropped since the last report of dropped lines.
     *
     * @return the number of dropped lines that are not reported yet
     */
    public long droppedLines() {
        return dropped.get();
    }

    @Override
    public void start() {
        if (encoder == null) {
            addError("no encoder is set");
            return;
        }
        super.start();
        writer = new Thread(this::writeEvents, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    protected void append(ILoggingEvent event) {
        event.prepareForDeferredProcessing();
        if (!queue.offer(event)) {
            dropped.incrementAndGet();
        }
    }

    private void writeEvents() {
        while (isStarted() || !queue.isEmpty()) {
            try {
                ILoggingEvent event = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (event != null) {
                    write(event);
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void write(ILoggingEvent event) {
        try {
            long droppedCount = dropped.getAndSet(0);
            if (droppedCount > 0) {
                target.write(("event=log-lines-dropped count=" + droppedCount + "\n").getBytes(StandardCharsets.UTF_8));
            }
            target.write(encoder.encode(event));
            target.flush();
        } catch (IOException failure) {
            addError("could not write a log line", failure);
        }
    }

    @Override
    public void stop() {
        super.stop();
        try {
            if (writer != null) {
                writer.join(STOP_TIMEOUT_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
