package org.arbutusstack.gateway.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.arbutusstack.kernel.Assert;

/**
 * Requests in flight without an attempt in progress, and the order in which they are routed again.
 *
 * <p>Requests of services with admission by room go by urgency, then by the share that their team has had, then by
 * deadline. All others go first, in the order of their arrival. Does no I/O; confined to the entry's event loop.
 *
 * @see PromptAdmission
 */
final class WaitingRequests {

    private final Set<ActiveRequest> requests = new LinkedHashSet<>();

    private final PromptAdmission admission;

    private final Comparator<ActiveRequest> order;

    WaitingRequests(PromptAdmission admission, TeamUsage usage) {
        this.admission = Assert.notNull(admission, "admission");
        this.order = Comparator.<ActiveRequest>comparingInt(active -> isManaged(active) ? 1 : 0)
                .thenComparingInt(active -> isManaged(active) ? active.request().urgency() : 0)
                .thenComparingDouble(active ->
                        isManaged(active) ? usage.shareUsed(active.request().team()) : 0)
                .thenComparingLong(
                        active -> isManaged(active) ? active.request().deadlineNanos() : 0);
    }

    private boolean isManaged(ActiveRequest active) {
        return admission.isManaged(active.request());
    }

    void add(ActiveRequest active) {
        requests.add(active);
    }

    void remove(ActiveRequest active) {
        requests.remove(active);
    }

    int size() {
        return requests.size();
    }

    /** Return the requests in the order in which they are to be routed. */
    List<ActiveRequest> inOrder() {
        List<ActiveRequest> ordered = new ArrayList<>(requests);
        if (ordered.size() > 1) {
            ordered.sort(order);
        }
        return ordered;
    }

    /** Return whether a request is to be held since one for the same model that goes before it is held for room. */
    boolean mustYield(ActiveRequest active) {
        InboundRequest request = active.request();
        if (!isManaged(active) || !admission.mayHold(request)) {
            return false;
        }
        for (ActiveRequest other : requests) {
            boolean competes = other != active
                    && other.isHeldForRoom()
                    && other.request().model().equals(request.model())
                    && other.request().service().equals(request.service());
            if (competes && order.compare(other, active) < 0) {
                return true;
            }
        }
        return false;
    }
}
