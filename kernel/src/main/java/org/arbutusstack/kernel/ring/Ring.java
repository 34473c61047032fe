package org.arbutusstack.kernel.ring;

/**
 * Takes messages for one duty, up to a bound.
 *
 * <p>A full ring is an explicit outcome for the one who offers; it never blocks. Implementations are safe for use by
 * any thread.
 *
 * @param <T> the messages' type
 * @see EventLoop
 */
public interface Ring<T> {

    /**
     * Offers a message to the duty behind the ring.
     *
     * @param message the message
     * @return {@code false} if the ring is full or its duty has ended; the message is not taken then
     */
    boolean offer(T message);

    /**
     * Tells how many messages wait.
     *
     * @return the number of messages taken and not yet handled
     */
    int depth();

    /**
     * Tells the bound.
     *
     * @return the largest number of messages that can wait
     */
    int capacity();
}
