package org.arbutusstack.kernel.ring;

/**
 * Bounded buffer of messages for one event loop.
 *
 * <p>Offering never blocks: the result tells the caller when the ring is full. Implementations are thread-safe.
 *
 * @param <T> the type of the messages
 * @see EventLoop
 */
public interface Ring<T> {

    /**
     * Offer a message to the event loop that reads the ring.
     *
     * @param message the message
     * @return {@code true} if the message was accepted, {@code false} if the ring is full or its event loop has stopped
     */
    boolean offer(T message);

    /**
     * Return the number of messages that are not yet handled.
     *
     * @return the number of messages accepted and not yet handled
     */
    int depth();

    /**
     * Return the capacity.
     *
     * @return the maximum number of messages that can be waiting
     */
    int capacity();
}
