package org.arbutusstack.kernel.ring;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.Assert;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scheduler that runs periodic tasks on one thread, typically to wake event loops.
 *
 * <p>All tasks share the thread, so they should do no more than offer messages to rings. Thread-safe.
 *
 * @see EventLoop
 */
public final class Ticker {

    private static final Logger logger = LoggerFactory.getLogger(Ticker.class);

    private final ScheduledExecutorService executor;

    /**
     * Create a ticker and start its thread.
     *
     * @param name the thread's name
     */
    public Ticker(String name) {
        Assert.hasText(name, "name");
        this.executor = Executors.newSingleThreadScheduledExecutor(work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Run a task periodically at a fixed rate.
     *
     * @param periodMillis the period between the starts of two runs, in milliseconds
     * @param task the task; must not block
     */
    public void every(long periodMillis, Runnable task) {
        Assert.atLeast(periodMillis, 1, "periodMillis");
        executor.scheduleAtFixedRate(() -> runSafely(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            logger.error("event=tick-failure", failure);
        }
    }

    /** Stop the scheduler and interrupt its thread. */
    public void stop() {
        executor.shutdownNow();
    }
}
