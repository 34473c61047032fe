package org.arbutusstack.entry.member;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import java.util.stream.Stream;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.model.host.HostStatus;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for the members that remain when the host list is implausible. */
public class MembershipTests {

    private static HostList list(String names) {
        return new HostList(Stream.of(names.split(""))
                .filter(name -> !name.isBlank())
                .map(name -> new Host(
                        name, HostRole.SIDE, "stitch-lm", "prairie", "regina", "127.0.0.1", 7_400, HostStatus.LIVE))
                .toList());
    }

    @DataProvider
    public Object[][] lists() {
        return new Object[][] {
            {"the first list", "", "abcd", "", "abcd"},
            {"a host is added", "abc", "abcd", "abc", "abcd"},
            {"a host is gone", "abcd", "abc", "abcd", "abc"},
            {"half are gone", "abcd", "ab", "abcd", "ab"},
            {"empty by mistake", "abcd", "", "abcd", "abcd"},
            {"empty by mistake, links cut too", "abcd", "", "", "abcd"},
            {"most are missing though linked", "abcd", "a", "abcd", "abcd"},
            {"most are missing, one of them dead", "abcde", "a", "abcd", "abcd"},
            {"most are gone and dead", "abcd", "a", "a", "a"},
            {"all are replaced while the old ones live", "abcd", "efgh", "abcd", "abcdefgh"},
            {"all are replaced and the old ones dead", "abcd", "efgh", "", "efgh"},
        };
    }

    @Test(dataProvider = "lists")
    public void shouldKeepLinkedMembersWhenListIsImplausible(
            String name, String members, String listed, String linked, String expected) {
        Set<String> alive = Set.of(linked.isEmpty() ? new String[0] : linked.split(""));
        HostList merged = Membership.merge(list(members), list(listed), host -> alive.contains(host.name()));
        String names =
                String.join("", merged.hosts().stream().map(Host::name).sorted().toList());
        assertEquals(names, expected, name);
    }
}
