package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.model.request.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what becomes of requests whose callers or runners read slowly. */
public class SlowPeerDispatchTests {

    private static final int BODY_BYTES = 100_000;

    private DispatcherHarness harness;

    @BeforeMethod
    public void reset() {
        harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.PLAIN);
    }

    private void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 40) {
            harness.clock.advanceMillis(40);
            harness.backpressure.tick();
        }
    }

    /** Guards against a runner being avoided, and its slot being kept, because a caller does not read. */
    @Test
    public void shouldCancelAttemptWithoutCountingFailureWhenCallerReadsNothing() {
        FakeCaller caller = harness.send(RouteKind.STREAMING, false);
        caller.readsNothing = true;
        FakeRunners.Sent sent = harness.runners.last();
        sent.streamHead(true);
        String data = "x".repeat(50_000);
        for (int event = 1; event <= 100 && !sent.cancelled; event++) {
            sent.bytes("id: " + event + "\ndata: " + data + "\n\n");
        }
        assertTrue(sent.cancelled);
        assertFalse(caller.ended);
        assertTrue(caller.body.length() >= 3_000_000, caller.body.length() + " bytes read from the runner");
        assertEquals(harness.dispatcher.size(), 0);
        harness.table.all().forEach(runner -> {
            assertFalse(runner.outcomes().isSuspect());
            assertEquals(runner.outstanding(), 0);
        });
    }

    /** Guards against waiting until the deadline for a runner that stops reading, although another one could answer. */
    @Test
    public void shouldSendRequestToAnotherRunnerWhenRunnerReadsItTooSlowly() {
        harness.runner("b", DispatcherHarness.PLAIN);
        harness.earnRetries(20);
        harness.body = new byte[BODY_BYTES];
        FakeCaller caller = harness.send(RouteKind.SAFE, false);
        FakeRunners.Sent first = harness.runners.last();
        advance(600);
        FakeRunners.Sent second = harness.runners.last();
        assertTrue(first.cancelled);
        assertNotEquals(second.runner.id(), first.runner.id());
        second.unsentBytes = 0;
        advance(600);
        second.answer(200, AnswerKind.ATTESTED, "ok");
        assertEquals(caller.body.toString(), "ok");
    }

    /** Guards against repeating a request that may have run, although its body was not sent completely. */
    @Test
    public void shouldNotGiveUpSendWhenRequestMayRunOnlyOnce() {
        harness.runner("b", DispatcherHarness.PLAIN);
        harness.earnRetries(20);
        harness.body = new byte[BODY_BYTES];
        FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
        int sends = harness.runners.sent.size();
        advance(900);
        assertFalse(harness.runners.last().cancelled);
        harness.clock.advanceMillis(200);
        harness.dispatcher.tick();
        assertEquals(harness.runners.sent.size(), sends);
        assertEquals(caller.refusal.reason(), RefusalReason.DEADLINE_PASSED);
    }
}
