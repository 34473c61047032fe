package org.arbutusstack.gateway.allotment;

import java.util.ArrayList;
import java.util.List;

/** Requests that were admitted, in order, and the rule of the users on them. */
final class AdmittedRequests {

    private final List<Request> requests = new ArrayList<>();

    void add(String team, long micros, double cost) {
        requests.add(new Request(team, micros, cost));
    }

    /** Return by how much the worst window exceeds what the users' rule allows; negative if none does. */
    double excess(String team, long fromMicros, long toMicros, double rate, double burst) {
        double allowed = (rate * AllotmentWorld.WINDOW_MICROS / AllotmentWorld.SECOND + burst) * 1.1 + 10_000;
        double worst = -allowed;
        double sum = 0;
        int first = 0;
        for (Request one : requests) {
            if (!one.team.equals(team) || one.micros < fromMicros || one.micros >= toMicros) {
                continue;
            }
            sum += one.cost;
            while (requests.get(first).micros <= one.micros - AllotmentWorld.WINDOW_MICROS
                    || !requests.get(first).counts(team, fromMicros)) {
                sum -= requests.get(first).counts(team, fromMicros) ? requests.get(first).cost : 0;
                first++;
            }
            worst = Math.max(worst, sum - allowed);
        }
        return worst;
    }

    /** Return the units of a team that were admitted within a time. */
    double units(String team, long fromMicros, long toMicros) {
        return requests.stream()
                .filter(one -> one.team.equals(team) && one.micros >= fromMicros && one.micros < toMicros)
                .mapToDouble(Request::cost)
                .sum();
    }

    private record Request(String team, long micros, double cost) {

        private boolean counts(String of, long fromMicros) {
            return team.equals(of) && micros >= fromMicros;
        }
    }
}
