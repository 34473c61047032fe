package org.arbutusstack.ledger;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.ticket.AdapterSpec;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ObjectId;
import org.arbutusstack.model.ticket.ObjectKind;
import org.arbutusstack.model.ticket.ServiceSpec;

/**
 * A snapshot of the state that results from the ticket log up to a sequence, with the marks of the most recent tickets.
 *
 * <p>Equal logs produce equal snapshots and equal bytes. Immutable.
 *
 * @param sequence the log sequence
 * @param chain the chain digest after that sequence, in hexadecimal
 * @param highestNumber the highest ticket number accepted
 * @param forgottenNumber the highest ticket number of the removed objects that are no longer tracked
 * @param services the services ordered by name
 * @param models the models ordered by name
 * @param adapters the adapters ordered by name
 * @param numbers the highest ticket number of each object, ordered by kind and name
 * @param marks the marks of the most recent tickets in log order
 */
public record LogSnapshot(
        long sequence,
        String chain,
        long highestNumber,
        long forgottenNumber,
        List<ServiceSpec> services,
        List<ModelSpec> models,
        List<AdapterSpec> adapters,
        List<ObjectNumber> numbers,
        List<TicketMark> marks) {

    /** Make defensive copies of the lists. */
    public LogSnapshot {
        services = List.copyOf(services);
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
        numbers = List.copyOf(numbers);
        marks = List.copyOf(marks);
    }

    /**
     * The highest ticket number that touched an object.
     *
     * @param kind the object's kind
     * @param name the object's name
     * @param number the ticket number
     */
    public record ObjectNumber(ObjectKind kind, String name, long number) {}

    /**
     * Create a snapshot.
     *
     * @param state the state
     * @param marks the marks of the most recent tickets in log order
     * @return the snapshot
     */
    public static LogSnapshot of(DesiredState state, List<TicketMark> marks) {
        List<ObjectNumber> numbers = state.ticketNumbers().entrySet().stream()
                .map(entry ->
                        new ObjectNumber(entry.getKey().kind(), entry.getKey().name(), entry.getValue()))
                .sorted(Comparator.comparing(ObjectNumber::kind).thenComparing(ObjectNumber::name))
                .toList();
        return new LogSnapshot(
                state.sequence(),
                state.chain().hex(),
                state.highestNumber(),
                state.forgottenNumber(),
                sorted(state.services(), ServiceSpec::name),
                sorted(state.models(), ModelSpec::name),
                sorted(state.adapters(), AdapterSpec::name),
                numbers,
                marks);
    }

    private static <T> List<T> sorted(Map<String, T> specs, Function<T, String> name) {
        return specs.values().stream().sorted(Comparator.comparing(name)).toList();
    }

    /**
     * Restore the state from the snapshot.
     *
     * @return the state at the snapshot's sequence
     */
    public DesiredState toState() {
        return new DesiredState(
                sequence,
                new Digest(chain),
                byName(services, ServiceSpec::name),
                byName(models, ModelSpec::name),
                byName(adapters, AdapterSpec::name),
                numbers.stream()
                        .collect(Collectors.toMap(
                                number -> new ObjectId(number.kind(), number.name()), ObjectNumber::number)),
                highestNumber,
                forgottenNumber);
    }

    private static <T> Map<String, T> byName(List<T> specs, Function<T, String> name) {
        return specs.stream().collect(Collectors.toMap(name, Function.identity()));
    }
}
