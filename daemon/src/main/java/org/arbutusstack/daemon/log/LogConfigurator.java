package org.arbutusstack.daemon.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.List;

/**
 * Logback {@link Configurator} that reads the environment variables {@value #TARGET_VARIABLE} and
 * {@value #LEVEL_VARIABLE}.
 *
 * <p>Logback discovers it through the service loader. It replaces an XML configuration, whose parsing takes a third of
 * the start-up time.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {

    /** Environment variable with the target of log lines: {@code stdout} or {@code stderr}, the default. */
    static final String TARGET_VARIABLE = "ARBUTUS_LOG_TARGET";

    /** Environment variable with the lowest level to log; {@code INFO} by default. */
    static final String LEVEL_VARIABLE = "ARBUTUS_LOG_LEVEL";

    private static final String DEFAULT_TARGET = "stderr";

    private static final List<String> VERBOSE_LIBRARIES = List.of("io.undertow", "org.xnio", "org.jboss");

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        LineEncoder encoder = new LineEncoder();
        encoder.setContext(context);
        encoder.start();
        BoundedAppender appender = new BoundedAppender();
        appender.setContext(context);
        appender.setTarget(readVariable(TARGET_VARIABLE, DEFAULT_TARGET));
        appender.setEncoder(encoder);
        appender.start();
        VERBOSE_LIBRARIES.forEach(name -> context.getLogger(name).setLevel(Level.WARN));
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(readVariable(LEVEL_VARIABLE, Level.INFO.toString()), Level.INFO));
        root.addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static String readVariable(String name, String defaultValue) {
        String value = System.getenv(name);
        return value == null || value.isBlank() ? defaultValue : value;
    }
}
