package org.arbutusstack.gateway.allotment;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.gateway.config.AllotmentUnit;
import org.arbutusstack.gateway.config.Team;

/** Requests of a team at an entry. */
final class TeamLoad {

    private final AllotmentWorld world;

    final AllotmentWorld.Entry entry;

    final String team;

    double perSecond;

    double meanCost;

    /** Part of the admitted requests that turn out not to have run, after up to this time. */
    double notRunPart;

    long arrived;

    long refused;

    long refusedFromMicros;

    final List<Long> retryAfterMillis = new ArrayList<>();

    TeamLoad(AllotmentWorld world, AllotmentWorld.Entry entry, String team, double perSecond, double meanCost) {
        this.world = world;
        this.entry = entry;
        this.team = team;
        this.perSecond = perSecond;
        this.meanCost = meanCost;
    }

    void arrive() {
        double gapSeconds = -Math.log(1 - world.random.nextDouble()) * meanCost / perSecond;
        world.at(
                world.nowMicros
                        + Math.max(
                                1, (long) Math.min(gapSeconds * AllotmentWorld.SECOND, 10.0 * AllotmentWorld.SECOND)),
                this::arrive);
        if (perSecond > 0.001 && entry.up) {
            double cost = world.teams.containsKey(team) && world.teams.get(team).unit() == AllotmentUnit.REQUEST
                    ? 1
                    : Math.rint(meanCost * (0.2 + 1.6 * world.random.nextDouble()));
            entry.handle(world.nowMicros, () -> submit(cost));
        }
    }

    private void submit(double cost) {
        Team known = world.teams.get(team);
        if (known == null) {
            return;
        }
        if (world.nowMicros >= refusedFromMicros) {
            arrived++;
        }
        AllotmentGate gate = entry.gate;
        Admission decision = gate.admit(known, cost, later -> decided(gate, later, cost));
        if (!(decision instanceof Admission.Waiting)) {
            decided(gate, decision, cost);
        }
    }

    private void decided(AllotmentGate gate, Admission decision, double cost) {
        if (decision instanceof Admission.Admitted one) {
            if (world.random.nextDouble() < notRunPart) {
                entry.handle(world.nowMicros + world.random.nextInt(1_000_000), () -> gate.giveBack(one.receipt()));
            } else {
                world.admitted.add(team, world.nowMicros, cost);
            }
        } else if (decision instanceof Admission.Refused one && world.nowMicros >= refusedFromMicros) {
            refused++;
            retryAfterMillis.add(one.retryAfterMillis());
        }
    }
}
