package org.arbutusstack.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Guards against threads that block while logging. It happens when the reader of the log stops, so that writes to the
 * stream block; the appender has to drop events and report their number.
 */
public class BoundedAppenderTests {

    private static final int LINES = 5_000;

    private final LoggerContext context = new LoggerContext();

    /** Stream that blocks all writes until it is released. */
    private static final class BlockedStream extends OutputStream {

        private final CountDownLatch released = new CountDownLatch(1);

        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            await();
            written.write(value);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            await();
            written.write(bytes, offset, length);
        }

        private void await() {
            try {
                released.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }

        String text() {
            return written.toString(StandardCharsets.UTF_8);
        }
    }

    private BoundedAppender appender(OutputStream stream) {
        context.setMDCAdapter(new LogbackMDCAdapter());
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%msg%n");
        encoder.start();
        BoundedAppender appender = new BoundedAppender();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setStream(stream);
        appender.start();
        return appender;
    }

    private void log(BoundedAppender appender, int number) {
        appender.doAppend(
                new LoggingEvent("test", context.getLogger("test"), Level.INFO, "line " + number, null, null));
    }

    @Test(timeOut = 20_000)
    public void shouldDropAndCountWhenReaderHasStopped() throws InterruptedException {
        BlockedStream blockedStream = new BlockedStream();
        BoundedAppender appender = appender(blockedStream);
        for (int number = 0; number < LINES; number++) {
            log(appender, number);
        }
        long dropped = appender.droppedLines();
        assertTrue(dropped > LINES / 2, "dropped " + dropped);
        blockedStream.released.countDown();
        while (!blockedStream.text().contains("event=log-lines-dropped count=" + dropped)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        appender.stop();
        long written = blockedStream
                .text()
                .lines()
                .filter(line -> line.startsWith("line "))
                .count();
        assertEquals(written, LINES - dropped);
    }
}
