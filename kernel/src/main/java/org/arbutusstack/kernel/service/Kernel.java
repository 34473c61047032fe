package org.arbutusstack.kernel.service;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lifecycle manager that starts the services of a process in order, and drains and stops them in reverse order.
 *
 * <p>Register the services, then call {@link #start()}, and {@link #stop(long)} when the process ends. If a service
 * fails to start, those already started are stopped. Not thread-safe.
 *
 * @see ServiceRegistry
 */
public final class Kernel {

    private static final Logger logger = LoggerFactory.getLogger(Kernel.class);

    private final ServiceRegistry registry;

    private final Clock clock;

    private final List<Service> started = new ArrayList<>();

    /**
     * Create a kernel.
     *
     * @param registry the registry of the services to run
     * @param clock the clock of the process
     */
    public Kernel(ServiceRegistry registry, Clock clock) {
        this.registry = Assert.notNull(registry, "registry");
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Start every registered service in the order of registration.
     *
     * @throws ServiceException if a service fails to start; those started before it are stopped
     */
    public void start() {
        for (Service service : registry.services()) {
            startService(service);
        }
    }

    private void startService(Service service) {
        try {
            service.start();
            started.add(service);
            logger.debug("event=service-started service={}", service.name());
        } catch (RuntimeException failure) {
            stop(0);
            throw new ServiceException("Could not start service '" + service.name() + "'", failure);
        }
    }

    /**
     * Drain and then stop the started services in reverse order; a failure of one service is logged and the others are
     * still drained and stopped.
     *
     * @param drainMillis the time allowed for draining, in milliseconds; zero stops without draining
     */
    public void stop(long drainMillis) {
        List<Service> reversed = new ArrayList<>(started);
        Collections.reverse(reversed);
        started.clear();
        long deadlineNanos = clock.deadlineNanos(drainMillis);
        if (drainMillis > 0) {
            reversed.forEach(service -> runStep("drain", service, () -> service.drain(deadlineNanos)));
        }
        reversed.forEach(service -> runStep("stop", service, service::stop));
    }

    private static void runStep(String action, Service service, Runnable step) {
        try {
            step.run();
            logger.debug("event=service-{} service={}", action, service.name());
        } catch (RuntimeException failure) {
            logger.warn("event=service-{}-failed service={}", action, service.name(), failure);
        }
    }
}
