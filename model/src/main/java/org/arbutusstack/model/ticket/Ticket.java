package org.arbutusstack.model.ticket;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * A change of the desired state by an operator, with the whole new state of each object that it touches.
 *
 * <p>Immutable. Equal tickets have equal digests.
 *
 * @param number the number of the ticket, assigned by the operator; at least 1
 * @param services the new state of the touched services
 * @param models the new state of the touched models
 * @param adapters the new state of the touched adapters
 * @param removed the objects to remove
 */
public record Ticket(
        long number,
        List<ServiceSpec> services,
        List<ModelSpec> models,
        List<AdapterSpec> adapters,
        List<ObjectId> removed) {

    /** Create a ticket; it must touch at least one object, and no object twice. A missing list is empty. */
    public Ticket {
        Assert.atLeast(number, 1, "number");
        services = copyOf(services, "services");
        models = copyOf(models, "models");
        adapters = copyOf(adapters, "adapters");
        removed = copyOf(removed, "removed");
        Set<ObjectId> seen = new HashSet<>();
        touchedBy(services, models, adapters, removed)
                .forEach(id -> Assert.isTrue(seen.add(id), "the ticket touches " + id + " twice"));
        Assert.isTrue(!seen.isEmpty(), "the ticket touches no object");
    }

    private static <T> List<T> copyOf(List<T> values, String name) {
        if (values == null) {
            return List.of();
        }
        values.forEach(value -> Assert.notNull(value, name + "[]"));
        return List.copyOf(values);
    }

    private static Stream<ObjectId> touchedBy(
            List<ServiceSpec> services, List<ModelSpec> models, List<AdapterSpec> adapters, List<ObjectId> removed) {
        return Stream.of(
                        services.stream().map(ServiceSpec::id),
                        models.stream().map(ModelSpec::id),
                        adapters.stream().map(AdapterSpec::id),
                        removed.stream())
                .flatMap(ids -> ids);
    }

    /**
     * Return the objects that the ticket touches.
     *
     * @return the identifiers of the objects, each once
     */
    @JsonIgnore
    public List<ObjectId> touched() {
        return touchedBy(services, models, adapters, removed).toList();
    }

    /**
     * Compute the digest of the content of the ticket.
     *
     * @return the digest of the JSON
     */
    @JsonIgnore
    public Digest digest() {
        return Digest.of(JsonCodec.write(this));
    }
}
