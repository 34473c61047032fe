package org.arbutusstack.store;

/**
 * Tells what became of a call on the key-value service.
 *
 * @param <T> what a call that is done returns
 */
public sealed interface StoreResult<T> {

    /**
     * The call is done.
     *
     * @param value what it returned
     * @param <T> what it returned
     */
    record Done<T>(T value) implements StoreResult<T> {}

    /**
     * The compare failed: the key has another revision; nothing was written.
     *
     * @param <T> unused
     */
    record Conflict<T>() implements StoreResult<T> {}

    /**
     * The call certainly had no effect and will have none.
     *
     * @param detail why
     * @param <T> unused
     */
    record NotDone<T>(String detail) implements StoreResult<T> {}

    /**
     * The call may or may not have taken effect.
     *
     * @param detail why
     * @param <T> unused
     */
    record Unknown<T>(String detail) implements StoreResult<T> {}

    /**
     * Tells whether the call is done.
     *
     * @return whether it is
     */
    default boolean isDone() {
        return this instanceof Done;
    }
}
