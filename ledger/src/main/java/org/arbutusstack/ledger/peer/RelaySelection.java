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
 * Chooses the relays of each availability zone by rendezvous hashing over the entries of the host list.
 *
 * <p>Every entry ranks the entries of a zone alike, without asking. A relay of the ranking that is silent is passed
 * over by each entry that sees it silent, and the next in rank takes its place. Immutable.
 *
 * @param relay whether this entry is a relay of its zone
 * @param wanted the names of the entries to hold links to
 */
public record RelaySelection(boolean relay, Set<String> wanted) {

    /** Copies the names. */
    public RelaySelection {
        wanted = Set.copyOf(wanted);
    }

    /**
     * Selects for one entry: links to the relays of its zone, and from relays to the relays of the other zones.
     *
     * @param self the name of the entry
     * @param zone its availability zone
     * @param rankings the rankings of all zones
     * @param relaysPerZone the number of relays in each zone
     * @param conditions what is known of each entry by name
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
        boolean relay = walk(rankings.getOrDefault(zone, List.of()), self, relaysPerZone, conditions, wanted);
        if (relay) {
            rankings.forEach((other, ranking) -> {
                if (!other.equals(zone)) {
                    walk(ranking, self, relaysPerZone, conditions, wanted);
                }
            });
        }
        return new RelaySelection(relay, wanted);
    }

    /**
     * Walks down a ranking until enough entries are presumed alive.
     *
     * @return whether this entry is among them, or too few of them are listed and alive
     */
    private static boolean walk(
            List<String> ranking,
            String self,
            int count,
            Function<String, PeerCondition> conditions,
            Set<String> wanted) {
        int alive = 0;
        boolean reached = false;
        for (String name : ranking) {
            if (alive >= count) {
                break;
            }
            boolean isSelf = name.equals(self);
            reached |= isSelf;
            if (!isSelf) {
                wanted.add(name);
            }
            if (isSelf || conditions.apply(name).isPresumedAlive()) {
                alive++;
            }
        }
        return reached || alive < count;
    }

    /**
     * Ranks the entries of each zone.
     *
     * @param entries the entries of the host list
     * @return their names by zone, the first relay of the zone first
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
