package org.arbutusstack.gateway.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.arbutusstack.gateway.allotment.Admission;
import org.arbutusstack.gateway.allotment.AllotmentGate;
import org.arbutusstack.gateway.allotment.AllotmentReceipt;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/**
 * Admission of requests under the allotments of their teams. A request that waits for tokens is in flight without being
 * routed; one that ends meanwhile gives its tokens back when it is admitted. Confined to the entry's event loop.
 */
final class TeamAdmission {

    private final AllotmentGate gate;

    private final Consumer<ActiveRequest> router;

    private final Refuser refuser;

    /** Create the admission; the router is called with requests that have waited and are admitted. */
    TeamAdmission(AllotmentGate gate, Consumer<ActiveRequest> router, Refuser refuser) {
        this.gate = Assert.notNull(gate, "gate");
        this.router = Assert.notNull(router, "router");
        this.refuser = Assert.notNull(refuser, "refuser");
    }

    /** Route a request at once if it has no team or its team has tokens; else hold it for a moment, or refuse it. */
    void submit(ActiveRequest active) {
        Optional<Team> team = active.request().team();
        if (team.isEmpty() || !team.get().isLimited()) {
            router.accept(active);
            return;
        }
        Admission decision = gate.admit(team.get(), active.request().allotmentCost(), later -> handle(active, later));
        handle(active, decision);
    }

    private void handle(ActiveRequest active, Admission decision) {
        if (decision instanceof Admission.Admitted admitted) {
            active.allotment(admitted.receipt());
            if (active.isEnded()) {
                giveBackUnlessRun(active);
            } else {
                router.accept(active);
            }
        } else if (decision instanceof Admission.Refused refused && !active.isEnded()) {
            Refusal refusal =
                    Refusal.rejected(RefusalReason.OVER_ALLOTMENT, "the team has used up its allotment for now");
            refuser.refuse(active, refusal, refused.retryAfterMillis());
        }
    }

    /** Give the tokens of a request that ends back, if it has certainly not run and never will. */
    void giveBackUnlessRun(ActiveRequest active) {
        AllotmentReceipt receipt = active.allotment();
        if (receipt != null && active.attempt() == null && !active.mayHaveRun()) {
            active.allotment(null);
            gate.giveBack(receipt);
        }
    }

    /** Strategy interface for refusing a request; called with the time after which it may be sent again. */
    interface Refuser {

        void refuse(ActiveRequest active, Refusal refusal, long retryAfterMillis);
    }
}
