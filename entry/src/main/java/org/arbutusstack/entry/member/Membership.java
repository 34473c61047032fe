package org.arbutusstack.entry.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;

/**
 * Strategy that derives the members from the host list and the open links.
 *
 * <p>A list is considered implausible if it is empty, or if it lacks more than half of the members while these are
 * still linked; the linked members are retained then. Stateless.
 */
final class Membership {

    private Membership() {}

    /**
     * Merge a host list into the members.
     *
     * @param members the current members
     * @param listed the host list as read
     * @param isLinked whether data has recently been received from a host over a link
     * @return the new members
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
