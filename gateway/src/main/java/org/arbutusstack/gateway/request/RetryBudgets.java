package org.arbutusstack.gateway.request;

import java.util.HashMap;
import java.util.Map;
import org.arbutusstack.routing.RetryBudget;

/** Share of one entry in the retries permitted to the fleet, by service. Confined to the entry's event loop. */
final class RetryBudgets {

    private final RetryLimits limits;

    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /** Number of entries that share the reserve. */
    private int entries = 1;

    RetryBudgets(RetryLimits limits) {
        this.limits = limits;
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
