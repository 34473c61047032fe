package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests for {@link RetryBudget}. */
public class RetryBudgetTests {

    @Test
    public void shouldDenyRetriesBeyondTheShareWhenReserveIsSpent() {
        RetryBudget budget = new RetryBudget(20, 10);
        int granted = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.requestArrived();
            granted += budget.tryAcquire() ? 1 : 0;
        }
        assertEquals(granted, 10 + 200, 1);
    }
}
