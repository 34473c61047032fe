package org.arbutusstack.kernel;

import java.util.Collection;

/**
 * Argument checks for public methods; the message of a failed check names the argument.
 *
 * <p>Except for {@link #isTrue}, each method returns the checked value, so that it can be used in an assignment.
 * Stateless and thread-safe.
 */
public final class Assert {

    private Assert() {}

    /**
     * Check that a value is not {@code null}.
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
     * Check that a text contains at least one character other than white space.
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
     * Check that a collection has at least one element.
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
     * Check that a number is not less than a minimum.
     *
     * @param value the number to check
     * @param minimum the smallest number permitted
     * @param name the argument's name
     * @return the number
     * @throws IllegalArgumentException if the number is less than the minimum
     */
    public static long atLeast(long value, long minimum, String name) {
        if (value < minimum) {
            throw new IllegalArgumentException("'" + name + "' must be at least " + minimum + " but is " + value);
        }
        return value;
    }

    /**
     * Check that a condition holds.
     *
     * @param condition the condition that must be {@code true}
     * @param message the message of the exception, with what is wrong
     * @throws IllegalArgumentException if the condition is {@code false}
     */
    public static void isTrue(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
