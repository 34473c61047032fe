package org.arbutusstack.kernel.ring;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.Assert;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Wakes duties at fixed periods from one thread.
 *
 * <p>The tasks given to it must only offer messages to rings. Safe for use by any thread.
 *
 * @see EventLoop
 */
public final class Ticker {

    private static final Logger logger = LoggerFactory.getLogger(Ticker.class);

    private final ScheduledExecutorService executor;

    /**
     * Creates a ticker and starts its thread.
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
     * Runs a task again and again.
     *
     * @param periodMillis the milliseconds between two runs
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

    /** Ends the thread. */
    public void stop() {
        executor.shutdownNow();
    }
}
