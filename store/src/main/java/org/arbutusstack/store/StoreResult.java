package org.arbutusstack.store;

/**
 * The outcome of a call on the key-value service.
 *
 * @param <T> the type of the result of a successful call
 */
public sealed interface StoreResult<T> {

    /**
     * The call succeeded.
     *
     * @param value the result
     * @param <T> the type of the result
     */
    record Done<T>(T value) implements StoreResult<T> {}

    /**
     * The comparison failed: the key has a different revision. Nothing was written.
     *
     * @param <T> unused
     */
    record Conflict<T>() implements StoreResult<T> {}

    /**
     * The call had no effect and will have none.
     *
     * @param detail the reason
     * @param <T> unused
     */
    record NotDone<T>(String detail) implements StoreResult<T> {}

    /**
     * It is unknown whether the call took effect or will do so.
     *
     * @param detail the reason
     * @param <T> unused
     */
    record Unknown<T>(String detail) implements StoreResult<T> {}

    /**
     * Return whether the call succeeded.
     *
     * @return {@code true} for {@link Done}
     */
    default boolean isDone() {
        return this instanceof Done;
    }
}
