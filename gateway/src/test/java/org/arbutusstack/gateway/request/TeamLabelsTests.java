package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;

import java.util.OptionalInt;
import java.util.Set;
import org.arbutusstack.gateway.config.AllotmentUnit;
import org.arbutusstack.gateway.config.Team;
import org.testng.annotations.Test;

/** Tests that metrics by team stay bounded. */
public class TeamLabelsTests {

    /** Guards against series that grow with each team that operators have ever named. */
    @Test
    public void shouldUseCommonLabelBeyondLimitAndKeepThoseGiven() {
        TeamLabels labels = new TeamLabels();
        for (int round = 0; round < 2; round++) {
            for (int index = 0; index < 2 * TeamLabels.MAX_TEAMS; index++) {
                String name = "t" + index;
                Team team = new Team(name, Set.of(), OptionalInt.empty(), AllotmentUnit.REQUEST, 0, 0, 0);
                assertEquals(labels.of(team), index < TeamLabels.MAX_TEAMS ? name : TeamLabels.OTHER);
            }
        }
    }
}
