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
 * Writes log lines on a thread of its own and drops lines rather than wait for a reader that has stopped.
 *
 * <p>The number of lines dropped is written as soon as lines can be written again. Safe for use by any thread.
 */
public final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {

    private static final int CAPACITY = 1_024;

    private static final long POLL_MILLIS = 1_000;

    private static final long STOP_MILLIS = 200;

    private final BlockingQueue<ILoggingEvent> ring = new ArrayBlockingQueue<>(CAPACITY);

    private final AtomicLong dropped = new AtomicLong();

    private OutputStream target = System.out;

    private Encoder<ILoggingEvent> encoder;

    private Thread writer;

    /**
     * Sets how lines are written; called by the configuration.
     *
     * @param lineEncoder the encoder
     */
    public void setEncoder(Encoder<ILoggingEvent> lineEncoder) {
        encoder = lineEncoder;
    }

    /**
     * Sets where lines go; called by the configuration.
     *
     * @param name {@code stdout} or {@code stderr}
     */
    public void setTarget(String name) {
        target = "stderr".equals(name) ? System.err : System.out;
    }

    void setStream(OutputStream stream) {
        target = stream;
    }

    /**
     * Counts the lines dropped that were not reported yet.
     *
     * @return their number
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
        writer = new Thread(this::run, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    protected void append(ILoggingEvent event) {
        event.prepareForDeferredProcessing();
        if (!ring.offer(event)) {
            dropped.incrementAndGet();
        }
    }

    private void run() {
        while (isStarted() || !ring.isEmpty()) {
            try {
                ILoggingEvent event = ring.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
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
            long lost = dropped.getAndSet(0);
            if (lost > 0) {
                target.write(("event=log-lines-dropped count=" + lost + "\n").getBytes(StandardCharsets.UTF_8));
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
                writer.join(STOP_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
