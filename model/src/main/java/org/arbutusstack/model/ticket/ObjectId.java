package org.arbutusstack.model.ticket;

import java.util.Locale;
import org.arbutusstack.kernel.Assert;

/**
 * Identifies an object that tickets can touch.
 *
 * @param kind the kind of the object
 * @param name the name of the object, unique within its kind
 */
public record ObjectId(ObjectKind kind, String name) {

    private static final int MAX_NAME_LENGTH = 128;

    /** Create an identifier; the name must have text and at most 128 characters. */
    public ObjectId {
        Assert.notNull(kind, "kind");
        Assert.hasText(name, "name");
        Assert.isTrue(name.length() <= MAX_NAME_LENGTH, "'name' must have at most " + MAX_NAME_LENGTH + " characters");
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT) + " '" + name + "'";
    }
}
