package org.arbutusstack.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that each event becomes one line, also if its message or stack trace has several. */
public class LineEncoderTests {

    private final LoggerContext context = new LoggerContext();

    private String line(long timeMillis, String message, Throwable thrown) {
        context.setMDCAdapter(new LogbackMDCAdapter());
        LoggingEvent event =
                new LoggingEvent("test", context.getLogger("org.arbutusstack.Some"), Level.WARN, message, thrown, null);
        event.setTimeStamp(timeMillis);
        event.setThreadName("router");
        return new String(new LineEncoder().encode(event), StandardCharsets.UTF_8);
    }

    @DataProvider
    Object[][] times() {
        return new Object[][] {
            {0L, "1970-01-01T00:00:00.000Z"},
            {1_700_000_000_005L, "2023-11-14T22:13:20.005Z"},
            {1_700_000_000_999L, "2023-11-14T22:13:20.999Z"},
        };
    }

    @Test(dataProvider = "times")
    public void shouldWriteMillisWhateverTheInstant(long timeMillis, String expected) {
        assertEquals(
                line(timeMillis, "event=started role=SIDE", null),
                "time=" + expected + " level=WARN thread=router logger=Some event=started role=SIDE\n");
    }

    @Test
    public void shouldStayOnOneLineWhenMessageAndThrowableHaveSeveral() {
        String line = line(0, "one\r\ntwo\nthree", new IllegalStateException("broken\noff"));
        assertEquals(line.indexOf('\n'), line.length() - 1);
        assertTrue(line.contains("one two three"), line);
        assertTrue(line.contains("IllegalStateException: broken | off | \tat "), line);
    }
}
