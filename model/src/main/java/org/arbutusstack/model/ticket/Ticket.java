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
 * Carries the whole new state of the objects that an operator changes.
 *
 * <p>Immutable. Equal tickets have equal digests.
 *
 * @param number the ticket's number, given by the operator
 * @param services the new state of services
 * @param models the new state of models
 * @param adapters the new state of adapters
 * @param removed the objects that are to exist no longer
 */
public record Ticket(
        long number,
        List<ServiceSpec> services,
        List<ModelSpec> models,
        List<AdapterSpec> adapters,
        List<ObjectId> removed) {

    /** Checks the number and that no object is touched twice. */
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
     * Lists the objects that the ticket touches.
     *
     * @return the objects, each once
     */
    @JsonIgnore
    public List<ObjectId> touched() {
        return touchedBy(services, models, adapters, removed).toList();
    }

    /**
     * Computes the digest of the ticket's content.
     *
     * @return the digest
     */
    @JsonIgnore
    public Digest digest() {
        return Digest.of(JsonCodec.write(this));
    }
}
