package org.arbutusstack.gateway.request;

import java.util.HashMap;
import java.util.Map;
import org.arbutusstack.routing.RetryBudget;

/** Keeps this entry's part of the retries that the fleet is permitted, by service. Used by the entry's loop only. */
final class RetryBudgets {

    private final RetryLimits limits;

    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /** The entries that share the reserve. */
    private int entries = 1;

    RetryBudgets(RetryLimits limits) {
        this.limits = limits;
    }

    RetryBudget of(String service) {
        return budgets.computeIfAbsent(
                service, name -> RetryBudget.empty(limits.percentOfRequests(), limits.reserveOf(entries)));
    }

    void entries(int count) {
        if (count != entries) {
            entries = count;
            budgets.values().forEach(budget -> budget.reserve(limits.reserveOf(count)));
        }
    }
}
