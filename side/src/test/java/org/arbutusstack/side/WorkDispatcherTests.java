package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.side.WorkDispatcherFixture.Exchange;
import org.arbutusstack.side.WorkDispatcherFixture.FakeLink;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.testng.annotations.Test;

/**
 * Tests how the dispatcher handles duplicates, priorities, refusals, suspect requests and a backend server that stops
 * responding.
 */
public class WorkDispatcherTests {

    private final FakeLink link = new FakeLink();

    private static WorkFrame normal(long number, int attempt) {
        return WorkDispatcherFixture.frame(number, attempt, 60_000, Priority.NORMAL);
    }

    @Test
    public void shouldRunAgainOnlyAfterPreviousRunIsAbortedWhenIdempotentRequestIsRepeated() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink later = new FakeLink();
        fixture.receive(normal(1, 1), link);
        Exchange previous = fixture.client.last();
        fixture.receive(normal(1, 2), later);
        assertTrue(previous.cancelled);
        assertEquals(fixture.client.running(), List.of("entry-1"));
        assertEquals(fixture.dispatcher.running(), 1);
        fixture.client.exchanges.stream()
                .filter(exchange -> !exchange.cancelled && exchange.call.path().equals("/v1"))
                .forEach(Exchange::finish);
        previous.finish();
        fixture.handleEvents();
        assertTrue(later.sent(AnswerPartFrame.class).stream().allMatch(part -> part.attempt() == 2));
        assertEquals(link.sent(AnswerPartFrame.class).size(), 0);
    }

    @Test
    public void shouldIgnoreFrameOfOldAttemptWhenLaterAttemptEnded() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        fixture.receive(normal(1, 2), new FakeLink());
        fixture.client.last().finish();
        fixture.handleEvents();
        fixture.receive(normal(1, 1), new FakeLink());
        assertEquals(fixture.client.exchanges.size(), 1);
    }

    @Test
    public void shouldIgnoreDuplicateFrameWhenRequestRuns() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(2));
        FakeLink same = new FakeLink();
        fixture.receive(normal(1, 1), same);
        fixture.receive(normal(1, 1), same);
        assertEquals(fixture.client.exchanges.size(), 1);
    }

    @Test
    public void shouldAbortWorkOfPreviousIncarnationWhenEntryRestarts() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        fixture.dispatcher.entryStarted("entry-1", "old");
        RequestId orphan = new RequestId("old", 1);
        fixture.receive(WorkDispatcherFixture.frame(orphan, 1, 60_000, Priority.NORMAL, "m"), new FakeLink());
        fixture.dispatcher.entryStarted("entry-1", "new");
        assertEquals(fixture.client.running(), List.of());
        assertTrue(fixture.dispatcher.isIdle());
        assertEquals(fixture.audited.size(), 1);
    }

    @Test
    public void shouldRunInteractiveFirstAndBulkInTurnWhenBothWait() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(normal(0, 1), own);
        for (int number = 1; number <= 2; number++) {
            fixture.receive(WorkDispatcherFixture.frame(number, 1, 60_000, Priority.BULK), own);
        }
        for (int number = 11; number <= 22; number++) {
            fixture.receive(WorkDispatcherFixture.frame(number, 1, 50_000 - number, Priority.INTERACTIVE), own);
        }
        for (int turn = 0; turn < WorkQueue.DEQUEUES_PER_BULK_TURN; turn++) {
            fixture.client.last().finish();
            fixture.handleEvents();
        }
        List<String> order = fixture.client.started();
        assertEquals(order.get(1), "entry-22");
        assertEquals(order.get(2), "entry-21");
        assertEquals(order.indexOf("entry-1"), WorkQueue.DEQUEUES_PER_BULK_TURN - 1);
    }

    @Test
    public void shouldRefuseImmediatelyWhenEstimatedTimeExceedsDeadline() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(normal(1, 1), own);
        fixture.clock.advanceMillis(900);
        fixture.client.last().finish();
        fixture.handleEvents();
        fixture.receive(normal(2, 1), own);
        fixture.receive(WorkDispatcherFixture.frame(3, 1, 800, Priority.INTERACTIVE), own);
        fixture.receive(WorkDispatcherFixture.frame(4, 1, 4_000, Priority.INTERACTIVE), own);
        assertEquals(own.refusals(), List.of("3 NOT_RUN DEADLINE_UNREACHABLE"));
        assertEquals(fixture.dispatcher.queued(), 1);
    }

    @Test
    public void shouldRefuseWaitingWorkWhenTooLittleTimeIsLeftToRunIt() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(normal(1, 1), own);
        fixture.clock.advanceMillis(900);
        fixture.client.last().finish();
        fixture.handleEvents();
        fixture.receive(normal(2, 1), own);
        fixture.receive(WorkDispatcherFixture.frame(3, 1, 1_850, Priority.INTERACTIVE), own);
        fixture.clock.advanceMillis(800);
        fixture.dispatcher.expire();
        assertEquals(own.refusals(), List.of());
        fixture.clock.advanceMillis(170);
        fixture.dispatcher.expire();
        assertEquals(own.refusals(), List.of("3 NOT_RUN DEADLINE_UNREACHABLE"));
    }

    @Test
    public void shouldRefuseWhenQueueIsFullByCountOrBytes() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(new WorkLimits(2, 20, 1, 1_000, 1_000, 60_000));
        FakeLink own = new FakeLink();
        fixture.receive(normal(1, 1), own);
        fixture.receive(normal(2, 1), own);
        fixture.receive(normal(3, 1), own);
        assertEquals(own.refusals(), List.of("3 NOT_RUN QUEUE_FULL"));
    }

    @Test
    public void shouldRunOthersWhenModelOfFirstIsNotReady() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        RequestId first = new RequestId("entry", 1);
        fixture.dispatcher.receive(WorkDispatcherFixture.frame(first, 1, 5_000, Priority.INTERACTIVE, "absent"), link);
        fixture.dispatcher.receive(normal(2, 1), link);
        fixture.dispatcher.dispatch(work -> !work.frame().model().equals("absent"));
        assertEquals(fixture.client.running(), List.of("entry-2"));
    }

    @Test
    public void shouldFollowSlotsOfBackendServerWhenReported() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(8));
        fixture.dispatcher.slotsReported(2);
        for (int number = 1; number <= 4; number++) {
            fixture.receive(normal(number, 1), link);
        }
        assertEquals(fixture.dispatcher.running(), 2);
        fixture.dispatcher.slotsReported(100);
        fixture.handleEvents();
        assertEquals(fixture.dispatcher.running(), 4);
    }

    @Test
    public void shouldReportOutcomeUnknownWhenBackendServerStopsResponding() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(normal(1, 1), own);
        fixture.client.last().head();
        fixture.client.last().event("word");
        fixture.handleEvents();
        fixture.clock.advanceMillis(900);
        fixture.dispatcher.expire();
        assertEquals(own.refusals(), List.of());
        fixture.clock.advanceMillis(200);
        fixture.dispatcher.expire();
        assertEquals(own.refusals(), List.of("1 OUTCOME_UNKNOWN BACKEND_LOST"));
    }

    @Test
    public void shouldNeverSendLastPartWhenPartWasLostInProcess() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        WorkDispatcher dispatcher = fixture.dispatcher;
        WorkItem[] seen = new WorkItem[1];
        dispatcher.receive(normal(1, 1), own);
        dispatcher.dispatch(work -> {
            seen[0] = work;
            return true;
        });
        seen[0].markBroken();
        fixture.client.last().finish();
        fixture.handleEvents();
        assertTrue(fixture.client.last().cancelled);
        assertEquals(own.refusals(), List.of("1 OUTCOME_UNKNOWN BACKEND_LOST"));
        assertTrue(own.sent(AnswerPartFrame.class).stream().noneMatch(AnswerPartFrame::last));
    }

    private static String textOf(FakeLink link) {
        StringBuilder text = new StringBuilder();
        link.sent(AnswerPartFrame.class).forEach(part -> text.append(new String(part.bytes(), StandardCharsets.UTF_8)));
        return text.toString();
    }

    /** Guards against bytes that are no event reaching a caller as one because a blank line follows them. */
    @Test
    public void shouldRefuseRestOfStreamWhenBackendServerSendsGarbage() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(normal(1, 1), own);
        Exchange exchange = fixture.client.last();
        exchange.head();
        exchange.event("word");
        exchange.bytes("bytes that are no event\n\n");
        exchange.event("[DONE]");
        fixture.handleEvents();
        assertEquals(textOf(own), "data: word\n\n");
        assertEquals(own.refusals(), List.of("1 OUTCOME_UNKNOWN BACKEND_ERROR"));
        assertTrue(exchange.cancelled);
    }

    /** Guards against a side that keeps the bytes of an event without end until its memory is exhausted. */
    @Test
    public void shouldGiveUpStreamWhenEventNeverEnds() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(normal(1, 1), own);
        Exchange exchange = fixture.client.last();
        exchange.head();
        exchange.bytes("data: ");
        for (int index = 0; index < 32 && !exchange.cancelled; index++) {
            exchange.bytes("x".repeat(65_536));
            fixture.handleEvents();
        }
        assertTrue(exchange.cancelled);
        assertEquals(own.refusals(), List.of("1 OUTCOME_UNKNOWN ANSWER_TOO_LARGE"));
    }

    @Test
    public void shouldIgnoreBytesAfterTheEventThatEndsTheStream() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(normal(1, 1), own);
        Exchange exchange = fixture.client.last();
        exchange.head();
        exchange.bytes("data: word\n\ndata: [DONE]\n\nHTTP/1.1 200 OK\r\n\r\n");
        exchange.bytes("data: more\n\n");
        exchange.listener.onEnd();
        fixture.handleEvents();
        assertEquals(textOf(own), "data: word\n\ndata: [DONE]\n\n");
        assertEquals(own.refusals(), List.of());
    }

    @Test
    public void shouldRefuseNewWorkWhenDraining() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(normal(1, 1), own);
        fixture.dispatcher.drain();
        fixture.receive(normal(2, 1), own);
        assertEquals(own.refusals(), List.of("2 NOT_RUN LEAVING"));
        assertTrue(!fixture.dispatcher.isIdle());
        fixture.client.last().finish();
        fixture.handleEvents();
        assertTrue(fixture.dispatcher.isIdle());
        assertTrue(own.sent(AnswerPartFrame.class).stream().anyMatch(AnswerPartFrame::last));
    }

    private static WorkFrame frameFor(long number, String model) {
        return WorkDispatcherFixture.frame(new RequestId("entry", number), 1, 60_000, Priority.NORMAL, model);
    }

    private static JsonNode load(int crashes) {
        String json = "{\"crashes\":" + crashes + ",\"models\":[1]}";
        return JsonCodec.read(json.getBytes(StandardCharsets.UTF_8), JsonNode.class);
    }

    private static void report(WorkDispatcherFixture fixture, int crashes) {
        fixture.clock.advanceMillis(10);
        fixture.suspects.loadRequested();
        fixture.suspects.loadReported(load(crashes));
        fixture.handleEvents();
    }

    @Test
    public void shouldRunSuspectAloneAndRefuseItWhenItCrashesSecondEngine() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(4));
        FakeLink own = new FakeLink();
        report(fixture, 0);
        fixture.receive(frameFor(1, "innocent"), own);
        fixture.receive(frameFor(2, "crasher"), own);
        fixture.client.exchanges.get(0).fail();
        fixture.client.exchanges.get(1).fail();
        fixture.handleEvents();
        fixture.receive(frameFor(3, "other"), own);
        assertEquals(fixture.client.started().size(), 2, "nothing is sent before the engine reported");
        report(fixture, 1);
        assertEquals(fixture.client.started().size(), 3);
        fixture.client.last().finish();
        fixture.handleEvents();
        fixture.receive(frameFor(4, "crasher"), own);
        fixture.receive(frameFor(5, "innocent"), own);
        fixture.receive(frameFor(6, "other"), own);
        assertEquals(fixture.client.started().size(), 4, "the suspect runs alone");
        fixture.client.last().fail();
        fixture.handleEvents();
        report(fixture, 2);
        assertEquals(own.refusals().get(2), "4 REJECTED QUARANTINED");
        fixture.receive(frameFor(7, "crasher"), own);
        assertEquals(own.refusals().get(3), "7 REJECTED QUARANTINED");
        assertEquals(fixture.dispatcher.running(), 1);
        for (int left = 0; left < 2; left++) {
            fixture.client.last().finish();
            fixture.handleEvents();
        }
        assertTrue(fixture.dispatcher.isIdle());
        fixture.receive(frameFor(8, "innocent"), own);
        fixture.receive(frameFor(9, "other"), own);
        assertEquals(fixture.dispatcher.running(), 2, "the innocent is cleared");
    }

    @Test
    public void shouldWithdrawStrikeWhenOnlyConnectionWasLost() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(4));
        report(fixture, 3);
        for (int time = 0; time < 3; time++) {
            fixture.receive(frameFor(time, "steady"), new FakeLink());
            fixture.client.last().fail();
            fixture.handleEvents();
            report(fixture, 3);
        }
        fixture.receive(frameFor(7, "steady"), new FakeLink());
        fixture.receive(frameFor(8, "steady"), new FakeLink());
        assertEquals(fixture.dispatcher.running(), 2);
    }

    @Test
    public void shouldRefuseWaitingWorkWhenEngineDoesNotRespond() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink own = new FakeLink();
        fixture.receive(frameFor(1, "m"), own);
        fixture.receive(frameFor(2, "n"), own);
        fixture.client.last().fail();
        fixture.handleEvents();
        fixture.dispatcher.refuseWaitingEngineWork();
        assertEquals(own.refusals(), List.of("1 OUTCOME_UNKNOWN BACKEND_LOST", "2 NOT_RUN BACKEND_LOST"));
    }

    /** Guards against work that is not refused although its deadline passes, since that of another entry failed. */
    @Test
    public void shouldRefuseOtherExpiredWorkWhenRefusalOfOneFails() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink sound = new FakeLink();
        FakeLink failing = new FakeLink();
        fixture.receive(normal(1, 1), sound);
        fixture.receive(WorkDispatcherFixture.frame(2, 1, 100, Priority.NORMAL), failing);
        fixture.receive(WorkDispatcherFixture.frame(3, 1, 200, Priority.NORMAL), sound);
        failing.isFailing = true;
        fixture.clock.advanceMillis(300);
        fixture.dispatcher.expire();
        assertEquals(sound.refusals(), List.of("3 NOT_RUN DEADLINE_PASSED"));
    }

    /** Guards against work that nothing ends, and against work behind it that is not started. */
    @Test
    public void shouldRefuseWorkThatCannotBeStartedAndStartWorkBehindIt() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink sound = new FakeLink();
        fixture.receive(normal(1, 1), sound);
        fixture.receive(normal(2, 1), sound);
        fixture.receive(normal(3, 1), sound);
        fixture.client.unsendableId = "entry-2";
        fixture.client.last().finish();
        fixture.handleEvents();
        assertEquals(sound.refusals(), List.of("2 OUTCOME_UNKNOWN INTERNAL"));
        assertEquals(fixture.client.started(), List.of("entry-1", "entry-3"));
    }

    /** Guards against a request being suspected of a crash, since what the backend server sent cannot be read. */
    @Test
    public void shouldReportOutcomeUnknownAndStrikeNothingWhenAnswerIsMalformed() {
        WorkDispatcherFixture fixture = new WorkDispatcherFixture(WorkDispatcherFixture.limits(1));
        FakeLink sound = new FakeLink();
        fixture.receive(normal(1, 1), sound);
        fixture.client.last().sendMalformed();
        fixture.handleEvents();
        assertEquals(sound.refusals(), List.of("1 OUTCOME_UNKNOWN BACKEND_ERROR"));
        assertEquals(fixture.suspects.size(), 0);
        assertFalse(fixture.suspects.hasUnexplainedLoss());
    }
}
