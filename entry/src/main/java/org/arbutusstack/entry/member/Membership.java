package org.arbutusstack.entry.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;

/**
 * Decides which hosts are members from the host list as read and the links that stand.
 *
 * <p>A list that is empty, or lacks more than half of the members though these are linked, is taken for a mistake: the
 * linked members stay as they were. Stateless.
 */
final class Membership {

    private Membership() {}

    /**
     * Merges a list into the members.
     *
     * @param members the members so far
     * @param listed the list as read
     * @param isLinked tells whether something was lately heard from a host over a link
     * @return the members from now on
     */
    static HostList merge(HostList members, HostList listed, Predicate<Host> isLinked) {
        if (listed.hosts().isEmpty()) {
            return members;
        }
        Set<String> names = listed.hosts().stream().map(Host::name).collect(Collectors.toSet());
        List<Host> missing = members.hosts().stream()
                .filter(host -> !names.contains(host.name()) && isLinked.test(host))
                .toList();
        if (missing.size() * 2 <= members.hosts().size()) {
            return listed;
        }
        List<Host> merged = new ArrayList<>(listed.hosts());
        merged.addAll(missing);
        return new HostList(merged);
    }
}
