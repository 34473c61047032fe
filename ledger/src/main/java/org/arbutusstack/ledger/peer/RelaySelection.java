package org.arbutusstack.ledger.peer;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.host.Host;

/**
 * The choice of the relays of each availability zone by rendezvous hashing over the entries of the host list.
 *
 * <p>All entries compute the same ranking of a zone without communicating. A relay that stops responding is skipped by
 * each entry that notices it, and the next entry in the ranking takes its place. Immutable.
 *
 * @param relay whether this entry is a relay of its zone
 * @param wanted the names of the entries to keep links to
 */
public record RelaySelection(boolean relay, Set<String> wanted) {

    /** Make a defensive copy of the names. */
    public RelaySelection {
        wanted = Set.copyOf(wanted);
    }

    /**
     * Select the links of an entry: to the relays of its zone, and if it is a relay, to the relays of the other zones.
     *
     * @param self the name of the entry
     * @param zone the availability zone of the entry
     * @param rankings the names of the entries of each zone in the order of their rank
     * @param relaysPerZone the number of relays in each zone
     * @param conditions returns the condition of an entry by its name
     * @return the selection
     */
    public static RelaySelection of(
            String self,
            String zone,
            Map<String, List<String>> rankings,
            int relaysPerZone,
            Function<String, PeerCondition> conditions) {
        Assert.atLeast(relaysPerZone, 1, "relaysPerZone");
        Set<String> wanted = new LinkedHashSet<>();
        boolean relay = selectRelays(rankings.getOrDefault(zone, List.of()), self, relaysPerZone, conditions, wanted);
        if (relay) {
            rankings.forEach((other, ranking) -> {
                if (!other.equals(zone)) {
                    selectRelays(ranking, self, relaysPerZone, conditions, wanted);
                }
            });
        }
        return new RelaySelection(relay, wanted);
    }

    /**
     * Select entries in the order of their rank until enough of them are presumed alive.
     *
     * @return whether this entry is among them, or fewer than enough are listed and presumed alive
     */
    private static boolean selectRelays(
            List<String> ranking,
            String self,
            int count,
            Function<String, PeerCondition> conditions,
            Set<String> wanted) {
        int alive = 0;
        boolean includesSelf = false;
        for (String name : ranking) {
            if (alive >= count) {
                break;
            }
            boolean isSelf = name.equals(self);
            includesSelf |= isSelf;
            if (!isSelf) {
                wanted.add(name);
            }
            if (isSelf || conditions.apply(name).isPresumedAlive()) {
                alive++;
            }
        }
        return includesSelf || alive < count;
    }

    /**
     * Rank the entries of each zone.
     *
     * @param entries the entries of the host list
     * @return their names by zone in the order of their rank
     */
    public static Map<String, List<String>> rank(List<Host> entries) {
        Map<String, TreeMap<String, String>> namesByScore = new TreeMap<>();
        for (Host host : entries) {
            String score = Digest.of(host.zone() + "/" + host.name()).hex();
            namesByScore.computeIfAbsent(host.zone(), zone -> new TreeMap<>()).put(score, host.name());
        }
        Map<String, List<String>> rankings = new TreeMap<>();
        namesByScore.forEach((zone, names) -> rankings.put(zone, List.copyOf(names.values())));
        return rankings;
    }
}
