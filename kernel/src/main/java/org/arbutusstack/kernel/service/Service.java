package org.arbutusstack.kernel.service;

/**
 * Runs one duty of a process between a start and a stop.
 *
 * <p>The kernel calls {@link #start()} once, then {@link #drain(long)} once, then {@link #stop()} once, all from the
 * same thread.
 *
 * @see Kernel
 */
public interface Service {

    /**
     * Names the service; other services find it by this name.
     *
     * @return the name, unique in the process
     */
    String name();

    /** Starts the service; the services registered before it run already. */
    void start();

    /**
     * Finishes the work in progress and takes on no new work.
     *
     * @param deadlineNanos the instant of the kernel's clock after which work in progress is given up
     */
    default void drain(long deadlineNanos) {}

    /** Stops the service and frees what it holds. */
    void stop();
}
