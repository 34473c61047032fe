package org.arbutusstack.model.ticket;

import org.arbutusstack.kernel.Assert;

/**
 * States what an adapter is.
 *
 * @param name the adapter's name, by which callers ask for it
 * @param model the model that it adapts
 * @param version the version of its weights
 * @param memoryMb the accelerator memory that it takes beside its model, in mebibytes
 */
public record AdapterSpec(String name, String model, String version, long memoryMb) {

    private static final int LONGEST_VERSION = 256;

    /** Checks the statement. */
    public AdapterSpec {
        Assert.hasText(name, "adapters.name");
        Assert.hasText(model, "adapters.model");
        Assert.hasText(version, "adapters.version");
        Assert.isTrue(
                version.length() <= LONGEST_VERSION,
                "'adapters.version' must have at most " + LONGEST_VERSION + " characters");
        Assert.atLeast(memoryMb, 1, "adapters.memoryMb");
    }

    /**
     * Names the object.
     *
     * @return the object's name among those that tickets touch
     */
    public ObjectId id() {
        return new ObjectId(ObjectKind.ADAPTER, name);
    }
}
