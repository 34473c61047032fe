package org.arbutusstack.entry.plan;

import java.util.Comparator;
import java.util.List;
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
public final class EntryRoster {

    private static final int CANDIDATES = 3;

    private volatile List<String> entries = List.of();

    /**
     * Takes the host list.
     *
     * @param hosts the list
     */
    public void hostsChanged(HostList hosts) {
        entries = hosts.hosts().stream()
                .filter(host -> host.role() == HostRole.ENTRY && host.status() == HostStatus.LIVE)
                .map(Host::name)
                .toList();
    }

    /**
     * Tells whether an entry is one of the few that may plan a service.
     *
     * @param entry the entry's name
     * @param service the service
     * @return whether it may; also before the host list is known
     */
    public boolean isCandidate(String entry, String service) {
        List<String> known = entries;
        if (known.isEmpty()) {
            return true;
        }
        return known.stream()
                .sorted(Comparator.comparing(
                        name -> Digest.of(service + '\n' + name).hex()))
                .limit(CANDIDATES)
                .anyMatch(entry::equals);
    }
}
