package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what follows for requests, callers and servers from bytes that are no answer. */
public class MalformedAnswerTests {

    private DispatcherHarness harness;

    @BeforeMethod
    public void start() {
        harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.PLAIN);
        harness.runner("b", DispatcherHarness.PLAIN);
        harness.earnRetries(4);
    }

    /** Guards against a request being suspected of a crash, since what the server sent cannot be read. */
    @Test
    public void shouldReportOutcomeUnknownAndSuspectNoCrashWhenAnswerIsMalformed() {
        FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
        harness.runners.last().sendMalformed();
        assertEquals(caller.refusal.kind(), RefusalKind.OUTCOME_UNKNOWN);
        assertEquals(caller.refusal.reason(), RefusalReason.BACKEND_ERROR);
        harness.dispatcher.tick();
        harness.crashMonitor.tick();
        assertEquals(harness.probe.probed, List.of());
    }

    /** Guards against a stream that looks complete although what followed its first event was no answer. */
    @Test
    public void shouldAbortStreamWhenRestOfAnswerIsMalformed() {
        FakeCaller caller = harness.send(RouteKind.STREAMING, false);
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 1\ndata: a\n\n");
        harness.runners.last().sendMalformed();
        assertTrue(caller.aborted);
        assertFalse(caller.ended);
    }

    @Test
    public void shouldSendAgainWhenAnswerIsMalformedAndRequestMayBeRepeated() {
        FakeCaller caller = harness.send(RouteKind.SAFE, false);
        String first = harness.runners.last().runner.id();
        harness.runners.last().sendMalformed();
        assertNotEquals(harness.runners.last().runner.id(), first);
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "done");
        assertEquals(caller.body.toString(), "done");
    }
}
