package org.arbutusstack.gateway.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

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

    private final TeamUsage usage;

    private final LateAdmission lateAdmission;

    private final Comparator<ActiveRequest> order;

    WaitingRequests(PromptAdmission admission, Clock clock) {
        this.admission = Assert.notNull(admission, "admission");
        this.usage = new TeamUsage(clock);
        this.lateAdmission = new LateAdmission(admission, clock);
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

    void config(ServingConfig next) {
        admission.config(next);
        usage.config(next);
    }

    /** Remove a request that is being sent to a runner, and record what that says of its team and of gaps. */
    void recordSent(ActiveRequest active) {
        requests.remove(active);
        usage.recordSent(active.request());
        if (active.awaitsGap()) {
            lateAdmission.recordGap(active.request());
        }
    }

    /** Return whether a request that no runner can begin in time waits for one that begins at once. */
    boolean mayAwaitGap(ActiveRequest active) {
        return lateAdmission.mayWait(active.request(), countAheadForGap(active));
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

    /** Return the requests that a runner serves and whose model it holds, in the order of {@link #inOrder()}. */
    List<ActiveRequest> servedBy(KnownRunner runner) {
        return inOrder().stream()
                .filter(active ->
                        active.request().service().equals(runner.entry().service())
                                && runner.holds(active.request().model()))
                .toList();
    }

    /** Count the requests for the same model that wait for a gap and go before a request. */
    private int countAheadForGap(ActiveRequest active) {
        int ahead = 0;
        boolean arrivedBefore = true;
        for (ActiveRequest other : requests) {
            if (other == active) {
                arrivedBefore = false;
            } else if (other.awaitsGap() && isSameModel(other, active)) {
                int compared = order.compare(other, active);
                ahead += compared < 0 || compared == 0 && arrivedBefore ? 1 : 0;
            }
        }
        return ahead;
    }

    private static boolean isSameModel(ActiveRequest one, ActiveRequest other) {
        return one.request().model().equals(other.request().model())
                && one.request().service().equals(other.request().service());
    }

    /** Return whether a request is to be held since one for the same model that goes before it is held for room. */
    boolean mustYield(ActiveRequest active) {
        InboundRequest request = active.request();
        if (!isManaged(active) || !admission.mayHold(request)) {
            return false;
        }
        for (ActiveRequest other : requests) {
            if (other != active
                    && other.isHeldForRoom()
                    && isSameModel(other, active)
                    && order.compare(other, active) < 0) {
                return true;
            }
        }
        return false;
    }
}
