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
 * Selector of the entries that may plan each service.
 *
 * <p>Only a few entries may plan a service, so that the number of calls to the key-value service does not grow with the
 * number of entries. Thread-safe.
 */
public final class PlannerCandidates {

    private static final int MAX_CANDIDATES = 3;

    private volatile Ranking ranking = new Ranking(List.of(), new ConcurrentHashMap<>());

    /**
     * Update the candidates from a host list.
     *
     * @param hosts the new host list
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
     * Return whether an entry may plan a service.
     *
     * @param entry the name of the entry
     * @param service the name of the service
     * @return {@code true} if the entry is a candidate, or if no live entry is known yet
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

    /** The live entries, and the candidates of each service computed from them. */
    private record Ranking(List<String> entries, Map<String, List<String>> candidates) {}
}
