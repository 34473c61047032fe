package org.arbutusstack.kernel.time;

/**
 * Reads the machine's clocks.
 *
 * <p>Stateless and safe for use by any thread.
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
