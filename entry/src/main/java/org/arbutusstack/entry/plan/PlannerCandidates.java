package org.arbutusstack.entry.plan;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.model.host.HostStatus;

/**
 * Tells which entries may plan a service.
 *
 * <p>They are few, so that calls on the key-value service do not grow with the number of entries.
 * Safe for use by any thread.
 */
public final class PlannerCandidates {

    private static final int MAX_CANDIDATES = 3;

    private volatile Ranking ranking = new Ranking(List.of(), new ConcurrentHashMap<>());

    /**
     * Takes the host list.
     *
     * @param hosts the list
     */
    public void hostsChanged(HostList hosts) {
        List<String> entries = hosts.hosts().stream()
                .filter(host -> host.role() == HostRole.ENTRY && host.status() == HostStatus.LIVE)
                .map(Host::name)
                .sorted()
                .toList();
        if (!entries.equals(ranking.entries)) {
            ranking = new Ranking(entries, new ConcurrentHashMap<>());
        }
    }

    /**
     * Tells whether an entry is one of the few that may plan a service.
     *
     * @param entry the entry's name
     * @param service the service
     * @return whether it may; also before the host list is known
     */
    public boolean isCandidate(String entry, String service) {
        Ranking known = ranking;
        return known.entries.isEmpty()
                || known.candidates
                        .computeIfAbsent(service, name -> rank(name, known.entries))
                        .contains(entry);
    }

    private static List<String> rank(String service, List<String> entries) {
        Map<String, String> byDigest = new TreeMap<>();
        entries.forEach(name -> byDigest.put(Digest.of(service + '\n' + name).hex(), name));
        return byDigest.values().stream().limit(MAX_CANDIDATES).toList();
    }

    /** Holds the live entries and those that may plan each service. */
    private record Ranking(List<String> entries, Map<String, List<String>> candidates) {}
}
