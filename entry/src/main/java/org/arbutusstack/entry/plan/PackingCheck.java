package org.arbutusstack.entry.plan;

import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.ledger.TicketCheck;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.placement.Packing;
import org.arbutusstack.placement.RunnerCapacity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ticket check for capacity: for each engine service whose models a ticket adds or changes, verifies that the runners
 * have memory for one copy of every model and for a version transition.
 *
 * <p>A service passes unchecked if none of its runners has reported its memory size. Thread-safe.
 */
public final class PackingCheck implements TicketCheck {

    private static final Logger logger = LoggerFactory.getLogger(PackingCheck.class);

    private final RunnerDirectory directory;

    /**
     * Create a new {@code PackingCheck}.
     *
     * @param directory the directory of runners and their memory sizes
     */
    public PackingCheck(RunnerDirectory directory) {
        this.directory = Assert.notNull(directory, "directory");
    }

    @Override
    public Optional<String> findViolation(Ticket ticket, DesiredState before, DesiredState after) {
        return after.services().values().stream()
                .filter(service -> service.kind() == ServiceKind.ENGINE)
                .map(ServiceSpec::name)
                .sorted()
                .filter(service -> grows(before.modelsOf(service), after.modelsOf(service)))
                .flatMap(service -> complaint(service, after.modelsOf(service)).stream())
                .findFirst();
    }

    private static boolean grows(List<ModelSpec> before, List<ModelSpec> after) {
        return !before.containsAll(after);
    }

    private Optional<String> complaint(String service, List<ModelSpec> models) {
        List<Long> sizesMb = directory.runners(service).stream()
                .map(RunnerCapacity::memorySizeMb)
                .toList();
        if (sizesMb.isEmpty()) {
            logger.warn("event=packing-unchecked service={} reason=no-runner-known", service);
            return Optional.empty();
        }
        return Packing.complaint(models, sizesMb).map(detail -> "service '" + service + "': " + detail);
    }
}
