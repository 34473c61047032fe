package org.arbutusstack.daemon;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a task on SIGHUP, which would otherwise end the process.
 *
 * <p>The virtual machine offers signals only through a class that is not part of the published platform, so that it is
 * reached by reflection and its absence is no error.
 */
final class ReloadSignal {

    private static final Logger logger = LoggerFactory.getLogger(ReloadSignal.class);

    private ReloadSignal() {}

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
