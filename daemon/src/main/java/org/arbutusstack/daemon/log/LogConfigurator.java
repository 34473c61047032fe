package org.arbutusstack.daemon.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.List;

/**
 * Sets up the log from two variables of the environment: {@value #TARGET_VARIABLE} and {@value #LEVEL_VARIABLE}.
 *
 * <p>Found by Logback as a service. Takes the place of an XML file, which takes a third of a restart to read.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {

    /** Names where lines go: {@code stdout} or {@code stderr}. */
    static final String TARGET_VARIABLE = "ARBUTUS_LOG_TARGET";

    /** Names the least severe level that is written. */
    static final String LEVEL_VARIABLE = "ARBUTUS_LOG_LEVEL";

    private static final String DEFAULT_TARGET = "stderr";

    private static final List<String> CHATTY_LIBRARIES = List.of("io.undertow", "org.xnio", "org.jboss");

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        LineEncoder encoder = new LineEncoder();
        encoder.setContext(context);
        encoder.start();
        BoundedAppender appender = new BoundedAppender();
        appender.setContext(context);
        appender.setTarget(variable(TARGET_VARIABLE, DEFAULT_TARGET));
        appender.setEncoder(encoder);
        appender.start();
        CHATTY_LIBRARIES.forEach(name -> context.getLogger(name).setLevel(Level.WARN));
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(variable(LEVEL_VARIABLE, Level.INFO.toString()), Level.INFO));
        root.addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static String variable(String name, String otherwise) {
        String value = System.getenv(name);
        return value == null || value.isBlank() ? otherwise : value;
    }
}
