package org.arbutusstack.model.ticket;

import java.util.Locale;
import org.arbutusstack.kernel.Assert;

/**
 * Names one object that tickets touch.
 *
 * @param kind the object's kind
 * @param name the object's name, unique within its kind
 */
public record ObjectId(ObjectKind kind, String name) {

    private static final int LONGEST_NAME = 128;

    /** Checks the name. */
    public ObjectId {
        Assert.notNull(kind, "kind");
        Assert.hasText(name, "name");
        Assert.isTrue(name.length() <= LONGEST_NAME, "'name' must have at most " + LONGEST_NAME + " characters");
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT) + " '" + name + "'";
    }
}
