package org.arbutusstack.model.ticket;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.digest.Digest;

/**
 * The desired state that results from the accepted tickets: for each object, the state of the highest-numbered ticket.
 *
 * <p>Immutable; {@link #apply} returns a new state.
 *
 * @param sequence the log sequence of the last entry applied, zero before the first
 * @param chain the chain digest after that entry
 * @param services the services by name
 * @param models the models by name
 * @param adapters the adapters by name
 * @param ticketNumbers the highest ticket number that touched each object, including the most recently removed objects
 * @param highestNumber the highest ticket number accepted, zero before the first
 * @param forgottenNumber the highest ticket number of the removed objects that are no longer tracked
 */
public record DesiredState(
        long sequence,
        Digest chain,
        Map<String, ServiceSpec> services,
        Map<String, ModelSpec> models,
        Map<String, AdapterSpec> adapters,
        Map<ObjectId, Long> ticketNumbers,
        long highestNumber,
        long forgottenNumber) {

    /** The state before the first ticket. */
    public static final DesiredState EMPTY =
            new DesiredState(0, Digest.ZERO, Map.of(), Map.of(), Map.of(), Map.of(), 0, 0);

    private static final int MAX_REMOVED_NUMBERS = 2_048;

    private static final int RETAINED_REMOVED_NUMBERS = 1_024;

    /** Make defensive copies of the maps. */
    public DesiredState {
        services = Map.copyOf(services);
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
        ticketNumbers = Map.copyOf(ticketNumbers);
    }

    /**
     * Apply the next entry of the log.
     *
     * @param entry the entry that follows the sequence of this state
     * @return the state after the entry
     */
    public DesiredState apply(TicketEntry entry) {
        Ticket ticket = entry.ticket();
        Set<ObjectKind> touched = ticket.touched().stream().map(ObjectId::kind).collect(Collectors.toSet());
        Map<String, ServiceSpec> nextServices =
                touched.contains(ObjectKind.SERVICE) ? new HashMap<>(services) : services;
        Map<String, ModelSpec> nextModels = touched.contains(ObjectKind.MODEL) ? new HashMap<>(models) : models;
        Map<String, AdapterSpec> nextAdapters =
                touched.contains(ObjectKind.ADAPTER) ? new HashMap<>(adapters) : adapters;
        Map<ObjectId, Long> nextNumbers = new HashMap<>(ticketNumbers);
        ticket.services().forEach(spec -> nextServices.put(spec.name(), spec));
        ticket.models().forEach(spec -> nextModels.put(spec.name(), spec));
        ticket.adapters().forEach(spec -> nextAdapters.put(spec.name(), spec));
        for (ObjectId id : ticket.removed()) {
            specsOf(id.kind(), nextServices, nextModels, nextAdapters).remove(id.name());
        }
        ticket.touched().forEach(id -> nextNumbers.put(id, ticket.number()));
        int existingCount = nextServices.size() + nextModels.size() + nextAdapters.size();
        long highestForgotten = forgottenNumber;
        if (nextNumbers.size() - existingCount > MAX_REMOVED_NUMBERS) {
            highestForgotten =
                    Math.max(highestForgotten, forgetRemoved(nextNumbers, nextServices, nextModels, nextAdapters));
        }
        return new DesiredState(
                sequence + 1,
                chain.chain(entry.digest()),
                nextServices,
                nextModels,
                nextAdapters,
                nextNumbers,
                Math.max(highestNumber, ticket.number()),
                highestForgotten);
    }

    /** Drop the lowest ticket numbers of removed objects, and return the highest number dropped. */
    private static long forgetRemoved(
            Map<ObjectId, Long> numbers, Map<String, ?> services, Map<String, ?> models, Map<String, ?> adapters) {
        List<Map.Entry<ObjectId, Long>> removed = numbers.entrySet().stream()
                .filter(entry -> !specsOf(entry.getKey().kind(), services, models, adapters)
                        .containsKey(entry.getKey().name()))
                .sorted(Map.Entry.<ObjectId, Long>comparingByValue()
                        .thenComparing(entry -> entry.getKey().toString()))
                .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                .toList();
        List<Map.Entry<ObjectId, Long>> dropped = removed.subList(0, removed.size() - RETAINED_REMOVED_NUMBERS);
        dropped.forEach(entry -> numbers.remove(entry.getKey()));
        return dropped.get(dropped.size() - 1).getValue();
    }

    private static Map<String, ?> specsOf(
            ObjectKind kind, Map<String, ?> services, Map<String, ?> models, Map<String, ?> adapters) {
        return switch (kind) {
            case SERVICE -> services;
            case MODEL -> models;
            case ADAPTER -> adapters;
        };
    }

    /**
     * Return the ticket number in force for an object.
     *
     * @param id the object
     * @return the highest accepted number that touched it; for an object that is not tracked, the highest number that
     *     may have removed it, zero if there is none
     */
    public long ticketNumber(ObjectId id) {
        return ticketNumbers.getOrDefault(id, forgottenNumber);
    }

    /**
     * Resolve the name by which a caller requests a model.
     *
     * @param name the name of a model or of an adapter
     * @return the model, or the model of the adapter; empty if there is none
     */
    public Optional<ModelSpec> resolveModel(String name) {
        AdapterSpec adapter = adapters.get(name);
        return Optional.ofNullable(models.get(adapter == null ? name : adapter.model()));
    }

    /**
     * Return the models of a service.
     *
     * @param service the name of the service
     * @return the models ordered by name
     */
    public List<ModelSpec> modelsOf(String service) {
        Collection<ModelSpec> all = models.values();
        return all.stream()
                .filter(model -> model.service().equals(service))
                .sorted(Comparator.comparing(ModelSpec::name))
                .toList();
    }

    /**
     * Return whether the runners of a service are model engines.
     *
     * @param service the name of the service
     * @return whether the service exists and is of kind {@link ServiceKind#ENGINE}
     */
    public boolean isEngine(String service) {
        ServiceSpec spec = services().get(service);
        return spec != null && spec.kind() == ServiceKind.ENGINE;
    }
}
