package org.arbutusstack.gateway.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.AllotmentGrantFrame;
import org.arbutusstack.wire.frame.AllotmentRequestFrame;
import org.arbutusstack.wire.frame.PermitFrame;
import org.arbutusstack.wire.frame.PermitRequestFrame;
import org.arbutusstack.wire.frame.StatusRequestFrame;
import org.testng.annotations.Test;

/** Tests {@link EntryRequests}. */
public class EntryRequestsTests {

    private static List<Integer> sequences(RecordingLink link) {
        return link.sent.stream()
                .map(frame -> ((AllotmentGrantFrame) frame).sequence())
                .toList();
    }

    /** Guards against answers that reach the wrong entry, and entries without callers that are not told of a team. */
    @Test
    public void shouldAnswerOneEntryAndAnnounceTeamToAll() {
        EntryRequests requests = new EntryRequests(new AgentMetrics(new PrometheusRegistry()), new ManualClock());
        RecordingLink asking = new RecordingLink();
        RecordingLink other = new RecordingLink();
        AllotmentRequestFrame request =
                new AllotmentRequestFrame("raven", "edge-1", 5, 0, 0, 1, 1_000, 1_000, 0.5, 100, 50, 150);
        assertTrue(requests.answer(asking, request, List.of(asking, other)));
        assertEquals(sequences(asking), List.of(5, 0));
        assertEquals(sequences(other), List.of(0));
        assertTrue(requests.answer(asking, request, List.of(asking, other)));
        assertEquals(sequences(other), List.of(0));
    }

    /** Guards against permits that are no longer granted, and frames that the agent has to handle itself. */
    @Test
    public void shouldAnswerPermitRequestsAndLeaveOtherFrames() {
        EntryRequests requests = new EntryRequests(new AgentMetrics(new PrometheusRegistry()), new ManualClock());
        RecordingLink link = new RecordingLink();
        assertTrue(requests.answer(link, new PermitRequestFrame("i-1", 5, 0), List.of(link)));
        assertEquals(link.sent, List.of(new PermitFrame("i-1", 0)));
        assertFalse(requests.answer(link, new StatusRequestFrame(), List.of(link)));
    }
}
