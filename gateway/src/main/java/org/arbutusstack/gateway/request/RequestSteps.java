package org.arbutusstack.gateway.request;

import java.util.Collection;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/**
 * Runner of the steps in which requests are handled. A step that fails ends its own request, whatever state it left
 * that request in, so that the duties of the dispatcher go on for all others. Confined to the entry's event loop.
 *
 * @see RequestDispatcher
 */
final class RequestSteps {

    private static final String DUTY = "requests";

    private final TeamAdmission.Refuser refuser;

    RequestSteps(TeamAdmission.Refuser refuser) {
        this.refuser = Assert.notNull(refuser, "refuser");
    }

    /** Run a step of a request. */
    void run(ActiveRequest active, Runnable step) {
        if (!IsolatedSteps.run(DUTY, step)) {
            IsolatedSteps.run(DUTY, () -> abandon(active));
        }
    }

    /** Run a step of each request. */
    void forEach(Collection<ActiveRequest> requests, Consumer<ActiveRequest> step) {
        IsolatedSteps.forEach(DUTY, requests, active -> run(active, () -> step.accept(active)));
    }

    /** Refuse a request, or close its caller's connection if an answer or a refusal has been begun. */
    private void abandon(ActiveRequest active) {
        boolean refused = !active.isEnded() && IsolatedSteps.run(DUTY, () -> refuse(active));
        if (!refused) {
            active.response().abort();
        }
    }

    private void refuse(ActiveRequest active) {
        if (active.attempt() != null) {
            active.attempt().cancel();
            active.attemptFailed(
                    Refusal.outcomeUnknown(RefusalReason.INTERNAL, "this entry failed to handle the answer"));
        }
        refuser.refuse(active, Refusal.notRun(RefusalReason.INTERNAL, "this entry failed to handle the request"), 0);
    }
}
