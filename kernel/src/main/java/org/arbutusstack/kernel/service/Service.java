package org.arbutusstack.kernel.service;

/**
 * Component of a process with a lifecycle managed by the kernel.
 *
 * <p>The kernel calls {@link #start()} once, then {@link #drain(long)} at most once, then {@link #stop()} once, all
 * from the same thread.
 *
 * @see Kernel
 */
public interface Service {

    /**
     * Return the name of the service, by which other services look it up.
     *
     * @return the name, unique in the process
     */
    String name();

    /** Start the service; the services registered before it are already running. */
    void start();

    /**
     * Finish the work in progress and accept no new work.
     *
     * @param deadlineNanos the instant of the kernel's clock after which unfinished work is abandoned, in nanoseconds
     */
    default void drain(long deadlineNanos) {}

    /** Stop the service and release its resources. */
    void stop();
}
