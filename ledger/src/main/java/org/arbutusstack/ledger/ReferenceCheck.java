package org.arbutusstack.ledger;

import java.util.Optional;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.model.ticket.Ticket;

/**
 * Checks that every model refers to a service of model engines, that every adapter refers to a model, also after
 * removals, and that no adapter has the name of a model.
 *
 * <p>Stateless and thread-safe.
 */
public final class ReferenceCheck implements TicketCheck {

    @Override
    public Optional<String> findViolation(Ticket ticket, DesiredState before, DesiredState after) {
        Optional<String> model = after.models().values().stream()
                .filter(spec -> !isEngineService(after.services().get(spec.service())))
                .map(spec -> "model '" + spec.name() + "' names no service of engines: '" + spec.service() + "'")
                .sorted()
                .findFirst();
        Optional<String> adapter = after.adapters().values().stream()
                .filter(spec -> !after.models().containsKey(spec.model()))
                .map(spec -> "adapter '" + spec.name() + "' names no model: '" + spec.model() + "'")
                .sorted()
                .findFirst();
        Optional<String> name = after.adapters().keySet().stream()
                .filter(after.models()::containsKey)
                .map(ambiguous -> "adapter '" + ambiguous + "' has the name of a model")
                .sorted()
                .findFirst();
        return model.or(() -> adapter).or(() -> name);
    }

    private static boolean isEngineService(ServiceSpec service) {
        return service != null && service.kind() == ServiceKind.ENGINE;
    }
}
