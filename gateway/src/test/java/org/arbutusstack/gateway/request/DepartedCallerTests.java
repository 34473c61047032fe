package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.function.Consumer;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.runner.RunnerNotice;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that what a runner answers to a request whose caller has left counts like any other answer. */
public class DepartedCallerTests {

    private DispatcherHarness harness;

    private FakeRunners.Sent attempt;

    @BeforeMethod
    public void leaveRequestThatMayRunOnlyOnce() {
        harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.PLAIN);
        harness.send(RouteKind.UNSAFE, false).disconnect();
        attempt = harness.runners.last();
    }

    /** Guards against sending to a runner that has said that it leaves, but in an answer without a caller. */
    @Test
    public void shouldSendNothingMoreWhenRunnerSaysThatItLeaves() {
        attempt.notice = new RunnerNotice(0, true, 0);
        attempt.answer(200, AnswerKind.ATTESTED, "ok");
        assertFalse(harness.table.byId("a").takesWork());
        assertEquals(harness.runners.closed.size(), 1);
    }

    /** Guards against sending to an incarnation that has ended until a request with a caller finds that out. */
    @Test
    public void shouldSendNothingMoreWhenAnotherIncarnationAnswers() {
        attempt.answer(421, AnswerKind.OTHER_INCARNATION, "");
        assertFalse(harness.table.byId("a").takesWork());
    }

    @DataProvider
    public Object[][] failures() {
        Consumer<FakeRunners.Sent> error = failed -> failed.answer(500, AnswerKind.ATTESTED, "");
        Consumer<FakeRunners.Sent> loss = failed -> failed.fail(true);
        Consumer<FakeRunners.Sent> malformed = FakeRunners.Sent::sendMalformed;
        return new Object[][] {{"an error", error}, {"a broken connection", loss}, {"no answer", malformed}};
    }

    /** Guards against a failing runner that looks sound since its callers leave before it fails. */
    @Test(dataProvider = "failures")
    public void shouldSuspectRunnerThatFails(String name, Consumer<FakeRunners.Sent> failure) {
        failThree(failure);
        assertTrue(harness.table.byId("a").outcomes().isSuspect(), name);
    }

    /** Guards against counting the end of the caller's time against the runner. */
    @Test
    public void shouldNotSuspectRunnerWhenConnectionsAreClosedAfterTheDeadline() {
        failThree(failed -> {
            harness.clock.advanceMillis(2_000);
            failed.fail(true);
        });
        assertFalse(harness.table.byId("a").outcomes().isSuspect());
    }

    private void failThree(Consumer<FakeRunners.Sent> failure) {
        failure.accept(attempt);
        for (int further = 0; further < 2; further++) {
            harness.send(RouteKind.UNSAFE, false).disconnect();
            failure.accept(harness.runners.last());
        }
    }
}
