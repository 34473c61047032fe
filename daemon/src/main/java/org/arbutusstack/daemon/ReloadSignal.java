package org.arbutusstack.daemon;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handler registration for SIGHUP, which terminates the process by default.
 *
 * <p>The JVM exposes signals only through {@code sun.misc.Signal}, which is not part of the supported API. It is
 * therefore called by reflection, and a JVM without it only logs a warning.
 */
final class ReloadSignal {

    private static final Logger logger = LoggerFactory.getLogger(ReloadSignal.class);

    private ReloadSignal() {}

    /** Run the task on each SIGHUP, on the JVM's signal handling thread. */
    static void onReload(Runnable task) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signal = signalType.getConstructor(String.class).newInstance("HUP");
            Object handler = Proxy.newProxyInstance(
                    ReloadSignal.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                        if ("handle".equals(method.getName())) {
                            task.run();
                        }
                        return null;
                    });
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException unavailable) {
            logger.warn("event=reload-signal-unavailable", unavailable);
        }
    }
}
