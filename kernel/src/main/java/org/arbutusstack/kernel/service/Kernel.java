package org.arbutusstack.kernel.service;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts the services of a process in order, and drains and stops them in the reverse order.
 *
 * <p>Register services first, then call {@link #start()}, and {@link #stop(long)} when the process is to end. A service
 * that fails to start stops those already started. To be used by one thread.
 *
 * @see ServiceRegistry
 */
public final class Kernel {

    private static final Logger logger = LoggerFactory.getLogger(Kernel.class);

    private final ServiceRegistry registry;

    private final Clock clock;

    private final List<Service> started = new ArrayList<>();

    /**
     * Creates a kernel.
     *
     * @param registry the services to run
     * @param clock the clock of the process
     */
    public Kernel(ServiceRegistry registry, Clock clock) {
        this.registry = Assert.notNull(registry, "registry");
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Starts every registered service in the order of registration.
     *
     * @throws ServiceException if one fails to start; those started before it are stopped
     */
    public void start() {
        for (Service service : registry.services()) {
            startOne(service);
        }
    }

    private void startOne(Service service) {
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
     * Drains, then stops, the started services in reverse order; a failure of one does not keep the others running.
     *
     * @param drainMillis the milliseconds that work in progress may take; zero stops without draining
     */
    public void stop(long drainMillis) {
        List<Service> reversed = new ArrayList<>(started);
        Collections.reverse(reversed);
        started.clear();
        long deadlineNanos = clock.deadlineNanos(drainMillis);
        if (drainMillis > 0) {
            reversed.forEach(service -> attempt("drain", service, () -> service.drain(deadlineNanos)));
        }
        reversed.forEach(service -> attempt("stop", service, service::stop));
    }

    private static void attempt(String action, Service service, Runnable step) {
        try {
            step.run();
            logger.debug("event=service-{} service={}", action, service.name());
        } catch (RuntimeException failure) {
            logger.warn("event=service-{}-failed service={}", action, service.name(), failure);
        }
    }
}
