package org.arbutusstack.kernel.time;

/**
 * {@link Clock} that reads the clocks of the machine.
 *
 * <p>Stateless and thread-safe.
 *
 * @see Clock
 */
public final class SystemClock implements Clock {

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
