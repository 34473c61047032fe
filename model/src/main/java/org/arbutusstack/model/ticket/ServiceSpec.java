package org.arbutusstack.model.ticket;

import org.arbutusstack.kernel.Assert;

/**
 * The desired state of a service.
 *
 * @param name the name of the service
 * @param kind the kind of the service
 * @param idempotent whether its calls may be repeated; {@code false} makes each call run at most once
 */
public record ServiceSpec(String name, ServiceKind kind, boolean idempotent) {

    /** Create a specification; the name must have text, and the kind must not be {@code null}. */
    public ServiceSpec {
        Assert.hasText(name, "services.name");
        Assert.notNull(kind, "services.kind");
    }

    /**
     * Return the identifier of the service among the objects that tickets touch.
     *
     * @return an identifier of kind {@link ObjectKind#SERVICE}
     */
    public ObjectId id() {
        return new ObjectId(ObjectKind.SERVICE, name);
    }
}
