package org.arbutusstack.model.ticket;

import org.arbutusstack.kernel.Assert;

/**
 * States what a service is.
 *
 * @param name the service's name
 * @param kind what stands behind it
 * @param idempotent whether its calls may be repeated; {@code false} makes each call run at most once
 */
public record ServiceSpec(String name, ServiceKind kind, boolean idempotent) {

    /** Checks the statement. */
    public ServiceSpec {
        Assert.hasText(name, "services.name");
        Assert.notNull(kind, "services.kind");
    }

    /**
     * Names the object.
     *
     * @return the object's name among those that tickets touch
     */
    public ObjectId id() {
        return new ObjectId(ObjectKind.SERVICE, name);
    }
}
