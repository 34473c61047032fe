package org.arbutusstack.model.ticket;

import org.arbutusstack.kernel.Assert;

/**
 * States what a model is.
 *
 * @param name the model's name, by which callers ask for it
 * @param service the service whose runners may hold it
 * @param version the version of its weights
 * @param memoryMb the accelerator memory that one copy takes, in mebibytes
 * @param minimumCopies the number of ready copies to keep at the least
 */
public record ModelSpec(String name, String service, String version, long memoryMb, int minimumCopies) {

    private static final int LONGEST_VERSION = 256;

    private static final int MOST_COPIES = 1_000;

    /** Checks the statement. */
    public ModelSpec {
        Assert.hasText(name, "models.name");
        Assert.hasText(service, "models.service");
        Assert.hasText(version, "models.version");
        Assert.isTrue(
                version.length() <= LONGEST_VERSION,
                "'models.version' must have at most " + LONGEST_VERSION + " characters");
        Assert.atLeast(memoryMb, 1, "models.memoryMb");
        Assert.isTrue(
                minimumCopies >= 1 && minimumCopies <= MOST_COPIES,
                "'models.minimumCopies' must be from 1 to " + MOST_COPIES + " but is " + minimumCopies);
    }

    /**
     * Names the object.
     *
     * @return the object's name among those that tickets touch
     */
    public ObjectId id() {
        return new ObjectId(ObjectKind.MODEL, name);
    }
}
