package org.arbutusstack.daemon.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoField;

/**
 * Encoder that formats each logging event as one line of {@code key=value} pairs, with the time in UTC.
 *
 * <p>It does not use Logback's pattern layouts or the JDK's formatters, whose initialization takes a large part of the
 * start-up time. Confined to the thread of the appender that writes the lines.
 *
 * @see BoundedAppender
 */
public final class LineEncoder extends EncoderBase<ILoggingEvent> {

    private static final byte[] EMPTY = new byte[0];

    /** Length of the prefix {@code 2026-12-04T09:41:00}, which {@link Instant#toString()} always starts with. */
    private static final int SECONDS_LENGTH = 19;

    private static final int MILLIS_DIGITS = 3;

    @Override
    public byte[] headerBytes() {
        return EMPTY;
    }

    @Override
    public byte[] footerBytes() {
        return EMPTY;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        StringBuilder line = new StringBuilder("time=");
        appendTime(line, Instant.ofEpochMilli(event.getTimeStamp()));
        line.append(" level=").append(event.getLevel());
        line.append(" thread=").append(event.getThreadName());
        line.append(" logger=").append(simpleName(event.getLoggerName())).append(' ');
        appendOnOneLine(line, event.getFormattedMessage(), " ");
        IThrowableProxy thrown = event.getThrowableProxy();
        if (thrown != null) {
            line.append(' ');
            appendOnOneLine(line, ThrowableProxyUtil.asString(thrown), " | ");
        }
        return line.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void appendTime(StringBuilder line, Instant instant) {
        line.append(instant.toString(), 0, SECONDS_LENGTH).append('.');
        String millis = Integer.toString(instant.get(ChronoField.MILLI_OF_SECOND));
        line.append("0".repeat(MILLIS_DIGITS - millis.length())).append(millis).append('Z');
    }

    private static String simpleName(String loggerName) {
        return loggerName.substring(loggerName.lastIndexOf('.') + 1);
    }

    /** Append the text, replacing each sequence of line terminators with the separator. */
    private static void appendOnOneLine(StringBuilder line, String text, String separator) {
        boolean afterLineEnd = false;
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            boolean lineEnd = character == '\n' || character == '\r';
            if (!lineEnd) {
                line.append(character);
            } else if (!afterLineEnd) {
                line.append(separator);
            }
            afterLineEnd = lineEnd;
        }
    }
}
