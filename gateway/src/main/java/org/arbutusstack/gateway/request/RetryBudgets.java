package org.arbutusstack.gateway.request;

import java.util.HashMap;
import java.util.Map;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.routing.RetryBudget;

/** Share of one entry in the retries permitted to the fleet, by service. Confined to the entry's event loop. */
final class RetryBudgets {

    private final RetryLimits limits;

    private final Clock clock;

    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /** Number of entries that share the reserve. */
    private int entries = 1;

    RetryBudgets(RetryLimits limits, Clock clock) {
        this.limits = limits;
        this.clock = clock;
    }

    /** Return whether a request whose attempt has ended may be sent again; if so, this uses up a retry. */
    boolean mayRetry(ActiveRequest active, Refusal refusal) {
        InboundRequest request = active.request();
        boolean safe = refusal.kind().mayRepeat(request.route().mayRepeat());
        boolean permitted = active.possibleRuns() < request.route().maxAttempts() && active.sends() < limits.maxSends();
        if (!safe || !permitted || clock.isPast(request.deadlineNanos())) {
            return false;
        }
        boolean unsent = refusal.kind() == RefusalKind.NOT_RUN && refusal.reason() == RefusalReason.BACKEND_LOST;
        return unsent || of(request.service()).tryAcquire();
    }

    RetryBudget of(String service) {
        return budgets.computeIfAbsent(
                service, name -> RetryBudget.empty(limits.percentOfRequests(), limits.reservePerEntry(entries)));
    }

    void entries(int count) {
        if (count != entries) {
            entries = count;
            budgets.values().forEach(budget -> budget.reserve(limits.reservePerEntry(count)));
        }
    }
}
