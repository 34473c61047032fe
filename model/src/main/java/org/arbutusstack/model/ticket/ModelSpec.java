package org.arbutusstack.model.ticket;

import org.arbutusstack.kernel.Assert;

/**
 * The desired state of a model.
 *
 * @param name the name of the model, by which callers request it
 * @param service the name of the service whose runners may hold it
 * @param version the version of its weights
 * @param memoryMb the accelerator memory that one copy requires, in mebibytes
 * @param minimumCopies the minimum number of ready copies
 */
public record ModelSpec(String name, String service, String version, long memoryMb, int minimumCopies) {

    private static final int MAX_VERSION_LENGTH = 256;

    private static final int MAX_COPIES = 1_000;

    /** Create a specification; names and version must have text, and the numbers must be within their bounds. */
    public ModelSpec {
        Assert.hasText(name, "models.name");
        Assert.hasText(service, "models.service");
        Assert.hasText(version, "models.version");
        Assert.isTrue(
                version.length() <= MAX_VERSION_LENGTH,
                "'models.version' must have at most " + MAX_VERSION_LENGTH + " characters");
        Assert.atLeast(memoryMb, 1, "models.memoryMb");
        Assert.isTrue(
                minimumCopies >= 1 && minimumCopies <= MAX_COPIES,
                "'models.minimumCopies' must be from 1 to " + MAX_COPIES + " but is " + minimumCopies);
    }

    /**
     * Return the identifier of the model among the objects that tickets touch.
     *
     * @return an identifier of kind {@link ObjectKind#MODEL}
     */
    public ObjectId id() {
        return new ObjectId(ObjectKind.MODEL, name);
    }
}
