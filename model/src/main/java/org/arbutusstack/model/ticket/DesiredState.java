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
 * Holds the state that follows from the accepted tickets: for each object, that of the highest-numbered one.
 *
 * <p>Immutable; {@link #apply} returns a new state.
 *
 * @param sequence the log sequence of the last entry applied, zero before the first
 * @param chain the chain digest after that entry
 * @param services the services by name
 * @param models the models by name
 * @param adapters the adapters by name
 * @param ticketNumbers the highest ticket number that touched each object, the latest removed objects included
 * @param highestNumber the highest ticket number accepted, zero before the first
 * @param forgottenNumber the highest ticket number of the removed objects that are no longer remembered
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

    private static final int MOST_REMOVED = 2_048;

    private static final int REMOVED_KEPT = 1_024;

    /** Copies the maps. */
    public DesiredState {
        services = Map.copyOf(services);
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
        ticketNumbers = Map.copyOf(ticketNumbers);
    }

    /**
     * Applies the next entry of the log.
     *
     * @param entry the entry that follows this state's sequence
     * @return the state after it
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
            mapOf(id.kind(), nextServices, nextModels, nextAdapters).remove(id.name());
        }
        ticket.touched().forEach(id -> nextNumbers.put(id, ticket.number()));
        int existing = nextServices.size() + nextModels.size() + nextAdapters.size();
        long forgotten = forgottenNumber;
        if (nextNumbers.size() - existing > MOST_REMOVED) {
            forgotten = Math.max(forgotten, forgetRemoved(nextNumbers, nextServices, nextModels, nextAdapters));
        }
        return new DesiredState(
                sequence + 1,
                chain.chain(entry.digest()),
                nextServices,
                nextModels,
                nextAdapters,
                nextNumbers,
                Math.max(highestNumber, ticket.number()),
                forgotten);
    }

    /** Drops the lowest numbers of removed objects and returns the highest one dropped. */
    private static long forgetRemoved(
            Map<ObjectId, Long> numbers, Map<String, ?> services, Map<String, ?> models, Map<String, ?> adapters) {
        List<Map.Entry<ObjectId, Long>> removed = numbers.entrySet().stream()
                .filter(entry -> !mapOf(entry.getKey().kind(), services, models, adapters)
                        .containsKey(entry.getKey().name()))
                .sorted(Map.Entry.<ObjectId, Long>comparingByValue()
                        .thenComparing(entry -> entry.getKey().toString()))
                .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                .toList();
        List<Map.Entry<ObjectId, Long>> dropped = removed.subList(0, removed.size() - REMOVED_KEPT);
        dropped.forEach(entry -> numbers.remove(entry.getKey()));
        return dropped.get(dropped.size() - 1).getValue();
    }

    private static Map<String, ?> mapOf(
            ObjectKind kind, Map<String, ?> services, Map<String, ?> models, Map<String, ?> adapters) {
        return switch (kind) {
            case SERVICE -> services;
            case MODEL -> models;
            case ADAPTER -> adapters;
        };
    }

    /**
     * Tells the ticket number in force for an object.
     *
     * @param id the object
     * @return the highest accepted number that touched it; for an object that is not remembered, the highest number
     *     that may have removed it, zero if none may have
     */
    public long ticketNumber(ObjectId id) {
        return ticketNumbers.getOrDefault(id, forgottenNumber);
    }

    /**
     * Resolves the name by which a caller asks for a model.
     *
     * @param name the name of a model or of an adapter
     * @return the model, or empty if neither exists
     */
    public Optional<ModelSpec> resolveModel(String name) {
        AdapterSpec adapter = adapters.get(name);
        return Optional.ofNullable(models.get(adapter == null ? name : adapter.model()));
    }

    /**
     * Lists the models of a service.
     *
     * @param service the service's name
     * @return its models ordered by name
     */
    public List<ModelSpec> modelsOf(String service) {
        Collection<ModelSpec> all = models.values();
        return all.stream()
                .filter(model -> model.service().equals(service))
                .sorted(Comparator.comparing(ModelSpec::name))
                .toList();
    }

    /**
     * Tells whether the runners of a service are engines.
     *
     * @param service the service's name
     * @return whether it is known and they are
     */
    public boolean isEngine(String service) {
        ServiceSpec spec = services().get(service);
        return spec != null && spec.kind() == ServiceKind.ENGINE;
    }
}
