package org.arbutusstack.model.ticket;

import org.arbutusstack.kernel.Assert;

/**
 * The desired state of an adapter.
 *
 * @param name the name of the adapter, by which callers request it
 * @param model the name of the model that it adapts
 * @param version the version of its weights
 * @param memoryMb the accelerator memory that it requires in addition to its model, in mebibytes
 */
public record AdapterSpec(String name, String model, String version, long memoryMb) {

    private static final int MAX_VERSION_LENGTH = 256;

    /** Create a specification; the names and the version must have text, and the memory must be at least 1 MiB. */
    public AdapterSpec {
        Assert.hasText(name, "adapters.name");
        Assert.hasText(model, "adapters.model");
        Assert.hasText(version, "adapters.version");
        Assert.isTrue(
                version.length() <= MAX_VERSION_LENGTH,
                "'adapters.version' must have at most " + MAX_VERSION_LENGTH + " characters");
        Assert.atLeast(memoryMb, 1, "adapters.memoryMb");
    }

    /**
     * Return the identifier of the adapter among the objects that tickets touch.
     *
     * @return an identifier of kind {@link ObjectKind#ADAPTER}
     */
    public ObjectId id() {
        return new ObjectId(ObjectKind.ADAPTER, name);
    }
}
