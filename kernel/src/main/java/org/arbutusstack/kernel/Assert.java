package org.arbutusstack.kernel;

import java.util.Collection;

/**
 * Checks arguments at the door and names the argument in the message.
 *
 * <p>Each method returns the value checked, so that it can be used in an assignment. All methods are stateless and
 * safe for use by any thread.
 */
public final class Assert {

    private Assert() {}

    /**
     * Checks that a value is present.
     *
     * @param value the value to check
     * @param name the argument's name
     * @param <T> the value's type
     * @return the value
     * @throws IllegalArgumentException if the value is {@code null}
     */
    public static <T> T notNull(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException("'" + name + "' must not be null");
        }
        return value;
    }

    /**
     * Checks that a text holds at least one character that is not white space.
     *
     * @param value the text to check
     * @param name the argument's name
     * @return the text
     * @throws IllegalArgumentException if the text is {@code null} or blank
     */
    public static String hasText(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("'" + name + "' must not be empty");
        }
        return value;
    }

    /**
     * Checks that a collection holds at least one element.
     *
     * @param value the collection to check
     * @param name the argument's name
     * @param <T> the collection's type
     * @return the collection
     * @throws IllegalArgumentException if the collection is {@code null} or empty
     */
    public static <T extends Collection<?>> T notEmpty(T value, String name) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("'" + name + "' must not be empty");
        }
        return value;
    }

    /**
     * Checks that a number is at least a given one.
     *
     * @param value the number to check
     * @param minimum the smallest number allowed
     * @param name the argument's name
     * @return the number
     * @throws IllegalArgumentException if the number is smaller
     */
    public static long atLeast(long value, long minimum, String name) {
        if (value < minimum) {
            throw new IllegalArgumentException("'" + name + "' must be at least " + minimum + " but is " + value);
        }
        return value;
    }

    /**
     * Checks that a condition holds.
     *
     * @param condition the condition
     * @param message what is wrong if it does not hold
     * @throws IllegalArgumentException if it does not hold
     */
    public static void isTrue(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
